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
    private static final double MAX_KEEP_MS = 60_000;
    private static final int MAX_NAME_LENGTH = 64;
    private static final double MAX_AMOUNT = 1e9;

    private static final class Total {
        double value;
        long expiresAtNanos;
    }

    private final Channel listener;
    private final long nanosPerCall;
    private final long delayNanos;
    private final Map<String, Total> totals = new HashMap<>();
    private long queueEmptyAtNanos = System.nanoTime();
    private int addsSinceSweep;
    final AtomicLong calls = new AtomicLong();
    public volatile boolean silent;

    public CounterStandIn(EventLoopGroup group, int port, double perSecond, double delayMs)
            throws InterruptedException {
        nanosPerCall = Math.round(1e9 / perSecond);
        delayNanos = Math.round(delayMs * 1e6);
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
                && words.get(1).length() <= MAX_NAME_LENGTH
                && Math.abs(amount) <= MAX_AMOUNT
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
        queueEmptyAtNanos = Math.max(queueEmptyAtNanos, now) + nanosPerCall;
        ctx.executor()
                .schedule(
                        () -> answer.accept(StandInLoops.bulk(add(words.get(1), amount, life))),
                        queueEmptyAtNanos - now + delayNanos,
                        TimeUnit.NANOSECONDS);
    }

    /** Seven digits of a total are told. */
    private String add(String name, double amount, double life) {
        long now = System.nanoTime();
        if (++addsSinceSweep > 10_000) {
            addsSinceSweep = 0;
            totals.values().removeIf(t -> t.expiresAtNanos < now);
        }
        Total t = totals.get(name);
        if (t == null || t.expiresAtNanos < now) {
            t = new Total();
            t.expiresAtNanos = now + (long) (Math.min(life, MAX_KEEP_MS) * 1e6);
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
