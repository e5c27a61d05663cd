package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import quotagateway.client.ClientListener;
import quotagateway.client.ClientRequestHandler;
import quotagateway.client.ResponseSlot;
import quotagateway.lifecycle.CloseReason;
import quotagateway.log.NodeEvent;
import quotagateway.streaming.RequestBody;
import quotagateway.transport.Transport;

/** The listener at start and shutdown: a client that connects during bind, and clients during a shutdown. */
class ListenerLifecycleTest extends NodeFixture {
    /** With the longest deadline of the fixture's classes, 2 s. */
    private static final double EARLIEST_KILL_MS = 2700;

    private static final double OUTPUT_BLOCKED_TIMEOUT_MS = 15_000;

    /** After SIGTERM clients can connect for a while; all requests are answered before the node ends. */
    @Test
    void nodeAnswersOpenRequestsBeforeItEnds() throws Exception {
        start();
        Peer.Connection idle = connectClient();
        idle.sendCommand("PING");
        idle.readMessage();
        Peer.Connection busy = connectClient();
        sendGet(busy, "01", "read", 2500);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        drained = true;
        Thread draining = new Thread(node::drain);
        draining.start();
        Peer.Connection late = connectClient();
        sendGet(late, "02", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), late.readMessage());
        assertTrue(idle.awaitEnd());
        assertTrue(late.awaitEnd());
        idle.close();
        late.close();
        endpointConnection.sendValue("v");
        assertEquals(List.of("v"), busy.readMessage());
        assertTrue(busy.awaitEnd());
        busy.close();
        draining.join();
        assertThrows(ConnectException.class, this::connectClient);
    }

    /** Handler for a listener whose clients send no requests. */
    private static final class PingOnlyHandler implements ClientRequestHandler {
        @Override
        public String acceptCommand(
                ResponseSlot slot, ArrayRedisMessage command, RequestBody body, double receivedAtMs) {
            throw new IllegalStateException("no request is expected");
        }

        @Override
        public void onRequestRefused() {}

        @Override
        public boolean isMemoryExhausted() {
            return false;
        }

        @Override
        public boolean hasRoomForRequest(int bytes) {
            return true;
        }

        @Override
        public boolean mayListen() {
            return true;
        }

        @Override
        public boolean mayClose(CloseReason reason, int openRequests) {
            return true;
        }

        @Override
        public void onClientConnectionClosed(NodeEvent.ClientConnectionClosed closed) {}
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * A client that connects before bind has returned must be served. In this test bind never returns normally, because
     * its caller is interrupted.
     */
    @Test
    void clientThatConnectsBeforeBindReturnsIsServed() throws Exception {
        start();
        InetSocketAddress address;
        try (ServerSocket freePortSocket = new ServerSocket(0)) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePortSocket.getLocalPort());
        }
        EventLoopGroup group = Transport.newEventLoop();
        CountDownLatch interrupted = new CountDownLatch(1);
        group.execute(() -> awaitUninterruptibly(interrupted)); // the bind completes after its caller's wait has ended
        try {
            Thread.currentThread().interrupt();
            assertThrows(
                    InterruptedException.class,
                    () -> new ClientListener(node.eventLoop(), new PingOnlyHandler(), 8, OUTPUT_BLOCKED_TIMEOUT_MS)
                            .bind(group, address));
            interrupted.countDown();
            group.submit(() -> {}).sync(); // runs after the bind, which the event loop completes
            group.submit(() -> {}).sync();
            try (Peer.Connection connection = Peer.Connection.connect(address.getPort())) {
                connection.sendCommand("PING");
                assertEquals(List.of("+PONG"), connection.readMessage());
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** A response that a slow client has not read yet is not truncated when the node closes its side. */
    @Test
    void longResponseReachesASlowReaderCompletelyDuringAShutdown() throws Exception {
        maxSockets = 1024;
        start();
        Peer.Connection client = connectClient();
        String value = "v".repeat(64 * 1024);
        int calls = 140; // more than the socket buffers hold
        List<Peer.Connection> connections = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            sendGet(client, "0" + i, "read", 20_000);
            connections.add(i == 0 ? endpointConnection : endpointPeer.awaitConnection());
            connections.get(i).readMessage();
        }
        for (Peer.Connection connection : connections) {
            connection.sendValue(value);
        }
        drained = true;
        Thread draining = new Thread(node::drain);
        draining.start();
        assertThrows(
                SocketException.class,
                () -> { // refused, or reset if the listener closes during a connect
                    while (draining.isAlive()) {
                        connectClient()
                                .close(); // until it stops listening: by then the connections have been closed too
                    }
                });
        assertThrows(ConnectException.class, this::connectClient);
        for (int i = 0; i < calls; i++) {
            assertEquals(List.of(value), client.readMessage());
        }
        assertTrue(client.awaitEnd());
        client.close();
        draining.join();
    }

    /** Guards against a restart held up by a client that never closes its side of a connection that has ended. */
    @Test
    void clientThatNeverClosesDoesNotHoldTheProcessBeyondTheEarliestKill() throws Exception {
        start();
        Peer.Connection client = connectClient();
        client.sendCommand("PING");
        assertEquals(List.of("+PONG"), client.readMessage());
        drained = true;
        double startNanos = System.nanoTime();
        node.drain();
        double tookMs = (System.nanoTime() - startNanos) / 1e6;
        assertTrue(client.awaitEnd());
        assertTrue(tookMs >= EARLIEST_KILL_MS, tookMs + " ms");
    }
}
