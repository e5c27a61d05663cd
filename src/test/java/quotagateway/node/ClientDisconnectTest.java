package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.channel.epoll.Epoll;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.transport.Transport;

/**
 * No attempt begins for a client that has disconnected. The tests run with both transports: epoll reports the end of a
 * connection by itself, NIO reports it only when the connection is read.
 */
class ClientDisconnectTest extends NodeFixture {
    private static final int PIPELINE_LIMIT = 256;
    /** A client timeout in milliseconds that no test reaches. */
    private static final int UNREACHED_TIMEOUT_MS = 60_000;

    private void start(boolean epoll) throws Exception {
        assumeTrue(!epoll || Epoll.isAvailable());
        Transport.useEpoll(epoll);
        recordDiscoveryFailures = false; // the watch may time out during the test
        start();
    }

    @AfterEach
    void restoreTransport() {
        Transport.useEpoll(Epoll.isAvailable());
    }

    @Override
    String configJson() {
        return super.configJson().replace("\"connect_timeout\":250", "\"connect_timeout\":60000");
    }

    private void expectDisconnects(int first, int last) throws InterruptedException {
        Set<String> missing = new HashSet<>();
        for (int i = first; i <= last; i++) {
            missing.add("gone " + i);
        }
        while (!missing.isEmpty()) {
            String event = policyEvents.poll(10, TimeUnit.SECONDS);
            assertTrue(missing.remove(event), event + " while " + missing.size() + " disconnects are outstanding");
        }
    }

    private Peer.Connection connectClientAtPipelineLimit() throws Exception {
        Peer.Connection client = connectClient();
        for (int i = 1; i <= PIPELINE_LIMIT; i++) {
            sendGet(client, Integer.toHexString(i), "hold", UNREACHED_TIMEOUT_MS);
            expectRequest(i, "hold");
        }
        return client;
    }

    /** At the limit on pipelined requests the connection is not read, but its end must still be detected. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectIsDetectedAtThePipelineLimit(boolean epoll) throws Exception {
        start(epoll);
        Peer.Connection client = connectClientAtPipelineLimit();
        client.sendCommand("PING");
        client.close();
        expectDisconnects(1, PIPELINE_LIMIT);
        Peer.Connection otherClient = connectClient();
        sendGet(otherClient, "ff01", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), otherClient.readMessage());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectIsDetectedBeyondTheReadAheadLimit(boolean epoll) throws Exception {
        start(epoll);
        Peer.Connection client = connectClientAtPipelineLimit();
        client.write("*1\r\n$4\r\nPING\r\n".repeat(11_000)); // 150 KB
        client.close();
        expectDisconnects(1, PIPELINE_LIMIT);
    }

    /** All commands that were not read at the limit are accepted in order once earlier requests are answered. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void commandsBeyondThePipelineLimitAreAllAnswered(boolean epoll) throws Exception {
        start(epoll);
        Peer.Connection client = connectClient();
        for (int i = 1; i <= PIPELINE_LIMIT; i++) {
            sendGet(client, Integer.toHexString(i), "hold", 600);
        }
        for (int i = 1; i <= 2000; i++) {
            sendGet(client, "r" + i, "refuse", 900);
        }
        for (int i = 1; i <= PIPELINE_LIMIT; i++) {
            assertEquals(List.of("-ERR failed"), client.readMessage());
        }
        for (int i = 1; i <= 2000; i++) {
            assertEquals(List.of("-BUSY 1500"), client.readMessage(), "command " + i);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectIsDetectedWhileMemoryIsExhausted(boolean epoll) throws Exception {
        memoryMb = 3; // of which half a megabyte is for buffers
        start(epoll);
        List<Peer.Connection> otherClients = new ArrayList<>();
        String body = "x".repeat(4096); // the longest value that is kept however short memory is
        int bodies = 120; // together more than three quarters of the memory for buffers
        for (int i = 1; i <= bodies; i++) {
            otherClients.add(connectClient());
            otherClients
                    .get(i - 1)
                    .sendCommand(
                            "CALL.POST",
                            CUSTOMER,
                            "b" + i,
                            "c=hold,t=p,d=" + UNREACHED_TIMEOUT_MS + ",units=2,spread=3,first=1",
                            body);
            expectRequest(i, "hold");
        }
        Peer.Connection client = connectClient();
        sendGet(client, "01", "hold", UNREACHED_TIMEOUT_MS);
        expectRequest(bodies + 1, "hold");
        sendGet(client, "02", "hold", UNREACHED_TIMEOUT_MS);
        client.socket.shutdownOutput(); // a half-close counts as a disconnect
        expectEvent("gone " + (bodies + 1));
        assertTrue(client.awaitEnd());
        for (Peer.Connection otherClient : otherClients) {
            otherClient.socket.setSoLinger(true, 0); // a reset
            otherClient.close();
        }
        expectDisconnects(1, bodies);
    }

    /** An attempt that waits for a connection is withdrawn when its client disconnects, not at its timeout. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void attemptWaitingForItsConnectionIsNotSentAfterADisconnect(boolean epoll) throws Exception {
        start(epoll);
        try (ServerSocket endpointWithFullBacklog = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 2; i++) { // fills the backlog: no further connection is established
                closeables.add(
                        new Socket(endpointWithFullBacklog.getInetAddress(), endpointWithFullBacklog.getLocalPort()));
            }
            pushToWatch(list(42, false, entry("s0", "127.0.0.1:" + endpointWithFullBacklog.getLocalPort(), "active")));
            expectEvent("changes s0 UP");
            Peer.Connection client = connectClient();
            sendGet(client, "01", "read", UNREACHED_TIMEOUT_MS);
            expectRequest(1, "read");
            client.close();
            expectEvent("gone 1");
            expectEvent("ended 1 0 NOT_SENT true");
        }
    }

    /** When one event loop iteration reads several disconnects, none may send an attempt for a disconnected client. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void simultaneousDisconnectsAreDetectedBeforeAnAttemptIsSent(boolean epoll) throws Exception {
        start(epoll);
        sendNextAfterDisconnectOf = 1;
        Peer.Connection first = connectClient();
        sendGet(first, "01", "hold", UNREACHED_TIMEOUT_MS);
        expectRequest(1, "hold");
        Peer.Connection second = connectClient();
        sendGet(second, "02", "hold", UNREACHED_TIMEOUT_MS);
        expectRequest(2, "hold");
        Peer.Connection busy = connectClient();
        sendGet(busy, "03", "stall", UNREACHED_TIMEOUT_MS);
        expectRequest(3, "stall");
        first.close();
        second.close();
        stallPermits.release();
        expectEvent("gone 1");
        Set<String> expected = new HashSet<>(Set.of("gone 2", "ended 2 0 NOT_SENT true"));
        for (int i = 0; i < 2; i++) {
            String event = policyEvents.poll(10, TimeUnit.SECONDS);
            assertTrue(expected.remove(event), event);
        }
    }

    /** A command that is read together with the end of its connection is not forwarded. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void commandOfADisconnectedClientIsNotForwarded(boolean epoll) throws Exception {
        start(epoll);
        Peer.Connection busy = connectClient();
        sendGet(busy, "01", "stall", UNREACHED_TIMEOUT_MS);
        expectRequest(1, "stall");
        Peer.Connection client = connectClient();
        sendGet(client, "02", "hold", UNREACHED_TIMEOUT_MS);
        client.close();
        stallPermits.release();
        Peer.Connection otherClient = connectClient();
        for (int i = 0; i < 2; i++) { // the second PING is read after all bytes that arrived before the first
            otherClient.sendCommand("PING");
            assertEquals(List.of("+PONG"), otherClient.readMessage());
        }
        assertNull(policyEvents.poll());
    }

    /**
     * Guards against a request that runs twice as it comes again after its client has left (picture c of the review):
     * endpoints don't recognize the id of a request that must be executed once.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestThatMayHaveBeenExecutedIsNotSentAgainUnderItsId(boolean epoll) throws Exception {
        start(epoll);
        Peer.Connection client = connectClient();
        sendGet(client, "01", "once", UNREACHED_TIMEOUT_MS);
        expectRequest(1, "once");
        assertEquals("01", endpointConnection.readMessage().get(2));
        client.close();
        expectEvent("gone 1");
        endpointConnection.sendValue("done");
        expectEvent("ended 1 0 OK true");
        Peer.Connection again = connectClient();
        sendGet(again, "01", "once", UNREACHED_TIMEOUT_MS);
        assertEquals(List.of("-ERR a request of this id may have been executed"), again.readMessage());
        sendGet(again, "02", "once", UNREACHED_TIMEOUT_MS);
        expectRequest(2, "once");
    }
}
