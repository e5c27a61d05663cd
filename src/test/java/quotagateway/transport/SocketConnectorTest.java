package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * The system call {@code socket} may fail for a moment (ENFILE, ENOBUFS, no descriptor left). Netty reports that on a
 * thread of its own, on which the counter's client and the endpoint pool then called the policy, beside the event loop
 * that runs it. What the policy decided there was decided on state that the loop was changing.
 */
class SocketConnectorTest {
    private static final InetSocketAddress ADDRESS = PackedAddress.parse("127.0.0.1:9");

    private final EventLoopGroup group = Transport.newEventLoop();

    @AfterEach
    void endLoop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** What a listener saw of the end of a connect. */
    private record Report(boolean onLoop, boolean duringConnect, Throwable cause) {}

    private Report connectOnLoop(SocketConnector connector) throws Exception {
        CompletableFuture<Report> report = new CompletableFuture<>();
        group.execute(() -> {
            AtomicBoolean connecting = new AtomicBoolean(true);
            Thread loop = Thread.currentThread();
            ChannelFuture connected = connector.connect(ADDRESS, new ChannelInboundHandlerAdapter());
            connected.addListener(ended ->
                    report.complete(new Report(Thread.currentThread() == loop, connecting.get(), ended.cause())));
            connecting.set(false);
        });
        return report.get(10, TimeUnit.SECONDS);
    }

    @Test
    void socketThatCannotBeMadeIsReportedOnTheEventLoop() throws Exception {
        ChannelFactory<SocketChannel> failing = () -> {
            throw new ChannelException("socket: ENFILE");
        };
        Report report = connectOnLoop(new SocketConnector(group, 100, failing));
        assertTrue(report.onLoop(), "a listener on another thread runs the policy beside its loop");
        assertFalse(report.duringConnect(), "what is deciding to connect goes first");
        assertEquals("socket: ENFILE", report.cause().getMessage());
    }

    @Test
    void refusedConnectIsReportedOnTheEventLoop() throws Exception {
        Report report = connectOnLoop(new SocketConnector(group, 1000));
        assertTrue(report.onLoop());
        assertFalse(report.duringConnect());
        assertInstanceOf(java.net.ConnectException.class, report.cause());
    }
}
