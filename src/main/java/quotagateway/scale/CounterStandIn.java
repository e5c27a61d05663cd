package quotagateway.scale;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** The counter: running totals by name, so many calls a second in one line, each after a delay. */
public final class CounterStandIn implements AutoCloseable {
    private static final double LIFE_MOST = 60_000;
    private static final int NAME_MOST = 64;
    private static final double AMOUNT_MOST = 1e9;

    private static final class Total {
        double value;
        long endsAt;
    }

    private final Channel listener;
    private final long perCall;
    private final long delay;
    private final Map<String, Total> totals = new HashMap<>();
    private long free = System.nanoTime();
    private int sinceSwept;
    final AtomicLong calls = new AtomicLong();
    public volatile boolean silent;

    public CounterStandIn(EventLoopGroup group, int port, double perSecond, double delayMs)
            throws InterruptedException {
        perCall = Math.round(1e9 / perSecond);
        delay = Math.round(delayMs * 1e6);
        listener = StandInLoops.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), port), () -> {
            List<ChannelHandler> handlers = StandInLoops.resp();
            handlers.add(new RespStandInHandler() {
                @Override
                public void command(ChannelHandlerContext ctx, List<String> words, Consumer<String> answer) {
                    call(ctx, words, answer);
                }
            });
            return handlers;
        });
    }

    public int port() {
        return StandInLoops.port(listener);
    }

    private void call(ChannelHandlerContext ctx, List<String> words, Consumer<String> answer) {
        double amount;
        double life;
        try {
            amount = Double.parseDouble(words.get(2));
            life = Double.parseDouble(words.get(3));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            answer.accept("-ERR no such call\r\n");
            return;
        }
        boolean good = words.size() == 4
                && words.get(0).equals("CNT.ADD")
                && words.get(1).length() <= NAME_MOST
                && Math.abs(amount) <= AMOUNT_MOST
                && life >= 1;
        if (!good) {
            answer.accept("-ERR no such call\r\n");
            return;
        }
        calls.incrementAndGet();
        if (silent) {
            return;
        }
        long now = System.nanoTime();
        free = Math.max(free, now) + perCall;
        ctx.executor()
                .schedule(
                        () -> answer.accept(StandInLoops.bulk(add(words.get(1), amount, life))),
                        free - now + delay,
                        TimeUnit.NANOSECONDS);
    }

    /** Seven digits of a total are told. */
    private String add(String name, double amount, double life) {
        long now = System.nanoTime();
        if (++sinceSwept > 10_000) {
            sinceSwept = 0;
            totals.values().removeIf(t -> t.endsAt < now);
        }
        Total t = totals.get(name);
        if (t == null || t.endsAt < now) {
            t = new Total();
            t.endsAt = now + (long) (Math.min(life, LIFE_MOST) * 1e6);
            totals.put(name, t);
        }
        t.value += amount;
        return String.format(Locale.ROOT, "%.7g", t.value);
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }
}
