package quotagateway.scale;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Consumer;

/**
 * Stand-ins for up to hundreds of thousands of endpoints on one listener, told apart by {@link LoopbackAddresses}. A
 * response says how long the request was held, so that the client can tell what the node added.
 */
final class EndpointStandIns implements AutoCloseable {
    /** From 127.16.0.0 on: away from the addresses that a machine uses itself. */
    private static final LoopbackAddresses ADDRESSES = LoopbackAddresses.startingAt(16);

    private static final int MAX_ENDPOINTS = 1 << 19;

    private final Channel listener;
    private final double serviceMs;
    /** Requests got, connections open, and when (ns) the last request came, by number of server. */
    final AtomicLongArray requestsReceived;

    final AtomicIntegerArray openConnections;
    final AtomicLongArray lastRequestNanos;

    EndpointStandIns(EventLoopGroup group, int size, int port, double serviceMs) throws InterruptedException {
        Experiment.require(size <= MAX_ENDPOINTS, "at most " + MAX_ENDPOINTS + " place servers have an address");
        this.serviceMs = serviceMs;
        requestsReceived = new AtomicLongArray(size);
        openConnections = new AtomicIntegerArray(size);
        lastRequestNanos = new AtomicLongArray(size);
        listener = StandInLoops.listen(group, new InetSocketAddress("0.0.0.0", port), this::handlers);
    }

    private List<ChannelHandler> handlers() {
        List<ChannelHandler> handlers = StandInLoops.resp();
        handlers.add(new Connection());
        return handlers;
    }

    int port() {
        return StandInLoops.port(listener);
    }

    /** Where a server listens, as discovery tells it. */
    String hostAndPort(int server) {
        return ADDRESSES.hostAndPort(server, port());
    }

    int connections() {
        int sum = 0;
        for (int i = 0; i < openConnections.length(); i++) {
            sum += openConnections.get(i);
        }
        return sum;
    }

    static InetAddress address(int server) throws UnknownHostException {
        return ADDRESSES.address(server);
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }

    private final class Connection extends RespStandInHandler {
        private int server = -1;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            int at = ADDRESSES.numberOf((InetSocketAddress) ctx.channel().localAddress());
            if (at < 0 || at >= requestsReceived.length()) {
                ctx.close(); // no server of this run has that address
                return;
            }
            server = at;
            openConnections.incrementAndGet(server);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (server >= 0) {
                openConnections.decrementAndGet(server);
            }
        }

        @Override
        public void command(ChannelHandlerContext ctx, List<String> words, Consumer<String> answer) {
            if (!words.get(0).startsWith("CALL.")) {
                answer.accept(words.get(0).equals("INFO") ? "-NOPERM\r\n" : "-ERR unknown command\r\n");
                return;
            }
            boolean form = words.size() == (words.get(0).equals("CALL.GET") ? 4 : 5)
                    && words.get(3).matches("c=[^,]+,t=[^,]+,d=\\d+(,.*)?");
            if (!form) {
                answer.accept("-SYNTAX\r\n");
                return;
            }
            long from = System.nanoTime();
            requestsReceived.incrementAndGet(server);
            lastRequestNanos.set(server, from);
            ctx.executor()
                    .schedule(
                            () -> answer.accept("*3\r\n" + StandInLoops.bulk("held=" + (System.nanoTime() - from))
                                    + "$-1\r\n$-1\r\n"),
                            Math.round(serviceMs * 1e6),
                            TimeUnit.NANOSECONDS);
        }
    }
}
