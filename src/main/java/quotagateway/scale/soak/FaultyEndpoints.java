package quotagateway.scale.soak;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import quotagateway.scale.LoopbackAddresses;
import quotagateway.scale.RespStandInHandler;
import quotagateway.scale.StandInLoops;

/**
 * Endpoints that misbehave on demand and keep a record of each attempt. All share one listener and are told apart by
 * {@link LoopbackAddresses}.
 */
final class FaultyEndpoints implements AutoCloseable {
    /** How a server behaves, from its next request or connection on. */
    enum Behaviour {
        /** Answers after its service time. */
        HEALTHY,
        /** Takes requests and never answers. */
        HANG,
        /** Answers that it failed. */
        FAIL,
        /** Turns requests away. */
        BUSY,
        /** Resets the connection under a request that it has taken. */
        RESET,
        /** Sends half an answer, and no more. */
        HALF,
        /** Takes twenty times as long. */
        SLOW,
        /** Resets each connection that comes. */
        DOWN
    }

    /** From 127.17.0.0 on: beside those of the other stand-ins. */
    private static final LoopbackAddresses ADDRESSES = LoopbackAddresses.startingAt(17);

    private static final int SERVICE_MS = 10;
    private static final int SLOW_FACTOR = 20;
    private static final Pattern PATIENCE = Pattern.compile("(?:^|,)d=(\\d+)");

    private final RunClock clock;
    private final Channel listener;
    private final AtomicReferenceArray<Behaviour> behaviour;
    private final List<ChannelGroup> connections = new ArrayList<>();
    private final Map<String, List<Execution>> executions = new ConcurrentHashMap<>();

    FaultyEndpoints(EventLoopGroup group, RunClock clock, int size) throws InterruptedException {
        this.clock = clock;
        behaviour = new AtomicReferenceArray<>(size);
        for (int i = 0; i < size; i++) {
            behaviour.set(i, Behaviour.HEALTHY);
            connections.add(new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE));
        }
        listener = StandInLoops.listen(group, new InetSocketAddress("0.0.0.0", 0), this::handlers);
    }

    private List<ChannelHandler> handlers() {
        List<ChannelHandler> handlers = StandInLoops.resp();
        handlers.add(new Connection());
        return handlers;
    }

    /** Where a server listens, as discovery tells it. */
    String addressOf(int server) {
        return ADDRESSES.hostAndPort(server, StandInLoops.port(listener));
    }

    int size() {
        return behaviour.length();
    }

    void setBehaviour(int server, Behaviour next) {
        behaviour.set(server, next);
        if (next == Behaviour.DOWN) {
            resetAll(server);
        }
    }

    /** Resets each connection that is open to a server. */
    void resetAll(int server) {
        connections.get(server).forEach(FaultyEndpoints::reset);
    }

    /** The attempts of a request so far. */
    List<Execution> executionsOf(String request) {
        return executions.getOrDefault(request, List.of());
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        connections.forEach(ChannelGroup::close);
    }

    private final class Connection extends RespStandInHandler {
        private final Set<Execution> inFlight = ConcurrentHashMap.newKeySet();
        private int server = -1;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            int at = ADDRESSES.numberOf((InetSocketAddress) ctx.channel().localAddress());
            if (at < 0 || at >= behaviour.length() || behaviour.get(at) == Behaviour.DOWN) {
                reset(ctx.channel());
                return;
            }
            server = at;
            connections.get(at).add(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            double now = clock.now();
            inFlight.forEach(execution -> execution.endedAt = now);
        }

        @Override
        public void command(ChannelHandlerContext ctx, List<String> words, Consumer<String> answer) {
            boolean form = (words.get(0).equals("CALL.GET") && words.size() == 4)
                    || (words.get(0).equals("CALL.POST") && words.size() == 5);
            Matcher patience = form ? PATIENCE.matcher(words.get(3)) : null;
            if (!form || !patience.find()) {
                answer.accept("-SYNTAX\r\n");
                return;
            }
            Behaviour now = behaviour.get(server);
            Execution execution = new Execution(
                    words.get(2), server, clock.now(), Double.parseDouble(patience.group(1)), now != Behaviour.BUSY);
            executions
                    .computeIfAbsent(execution.request, id -> Collections.synchronizedList(new ArrayList<>()))
                    .add(execution);
            inFlight.add(execution);
            respond(ctx, now, execution, text -> {
                execution.endedAt = clock.now();
                inFlight.remove(execution);
                answer.accept(text);
            });
        }

        private void respond(ChannelHandlerContext ctx, Behaviour now, Execution execution, Consumer<String> answer) {
            String value = "*3\r\n" + StandInLoops.bulk("made for " + execution.request) + "$-1\r\n$-1\r\n";
            switch (now) {
                case FAIL -> answer.accept("-ERR failed\r\n");
                case BUSY -> answer.accept("-BUSY\r\n");
                case RESET, DOWN -> reset(ctx.channel());
                case HALF -> answer.accept(value.substring(0, value.length() / 2));
                case HANG -> {}
                default ->
                    ctx.executor()
                            .schedule(
                                    () -> answer.accept(value),
                                    now == Behaviour.SLOW ? SLOW_FACTOR * SERVICE_MS : SERVICE_MS,
                                    TimeUnit.MILLISECONDS);
            }
        }
    }
}
