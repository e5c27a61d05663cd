package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.channel.epoll.Epoll;
import java.io.IOException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Requests, connections and processes that end at rare moments: all responses due are still sent. */
class RequestEndTest extends NodeFixture {
    /** Number of requests whose responses exceed the socket buffers. */
    private static final int REQUESTS = 110;

    private static final String VALUE = "v".repeat(64 * 1024);

    private final Set<String> seenEvents = new HashSet<>();

    /** The request is not sent even if the policy has not cancelled its attempt. */
    @Test
    void completedRequestIsNotSentWhenItsConnectionComesUp() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 1500);
        expectRequest(1, "read");
        assertEquals("01", endpointConnection.readMessage().get(2));
        sendGet(client, "02", "drop", 1500); // the only connection is in use: the node has to open another
        expectRequest(2, "drop");
        expectEvent("ended 2 0 NOT_SENT true");
        Peer.Connection second = endpointPeer.awaitConnection();
        sendGet(client, "03", "read", 1500);
        assertEquals("03", second.readMessage().get(2));
    }

    /** Accepting a connection does not show that the counter works: the backoff continues. */
    @Test
    void counterThatClosesEachConnectionIsRetriedWithBackoff() throws Exception {
        start();
        int accepted = 0;
        long untilNanos = System.nanoTime() + 1_000_000_000L;
        for (Peer.Connection connection = counterPeer.pollConnection(1000);
                System.nanoTime() < untilNanos;
                connection = counterPeer.pollConnection(1000)) {
            if (connection != null) {
                accepted++;
                connection.close();
            }
        }
        assertTrue(accepted >= 8, "connections are not reopened: " + accepted);
        assertTrue(accepted <= 40, accepted + " connections for four slots within one second");
    }

    /** Connections opened in advance for each listed endpoint must not use up the other descriptors. */
    @Test
    void connectionsOpenedInAdvanceStayWithinTheEndpointBudget() throws Exception {
        maxSockets = 40;
        start();
        String[] hosts = new String[14];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = entry("s" + i, endpointPeer.address(), "active");
        }
        pushToWatch(list(42, true, hosts));
        for (int i = 1; i < 10; i++) { // a quarter of 40 are 10
            endpointPeer.awaitConnection();
        }
        assertNull(endpointPeer.pollConnection(200));
        sendGet(connectClient(), "01", "read", 1500);
        assertEquals("01", endpointConnection.readMessage().get(2));
    }

    /** A listener that opened after the node's end would accept clients and never answer them. */
    @Test
    void nodeDrainedDuringItsStartDoesNotListen() throws Exception {
        try (ServerSocket freePortSocket = new ServerSocket(0)) {
            listenPort = freePortSocket.getLocalPort();
        }
        node = newNode(configJson());
        FutureTask<Void> starting = new FutureTask<>(() -> {
            node.start();
            return null;
        });
        new Thread(starting).start();
        expectEvent("whole s0 UP"); // discovery does not answer, and the start waits for it here
        drained = true;
        node.drain();
        starting.get();
        assertNull(node.listenAddress());
        assertThrows(ConnectException.class, () -> Peer.Connection.connect(listenPort));
    }

    /** Closing the listener must not reset clients that have connected and wait to be accepted. */
    @Test
    void connectedClientsAreAnsweredEvenIfTheLoopIsLate() throws Exception {
        start();
        new ProcessHandover(stateFolder, "n0").claim(); // so the node stops listening immediately
        Peer.Connection first = connectClient();
        Peer.Connection second = connectClient();
        second.sendCommand("PING");
        assertEquals(List.of("+PONG"), second.readMessage());
        sendGet(first, "01", "stall", 9000);
        expectRequest(1, "stall");
        sendGet(second, "02", "stall", 9000);
        drained = true;
        Thread draining = new Thread(node::drain);
        draining.start();
        while (draining.getState() != Thread.State.WAITING) { // for the event loop to begin the shutdown
            Thread.onSpinWait();
        }
        stallPermits.release(); // the node stops listening, reads the second request and blocks again
        expectRequest(2, "stall");
        List<Peer.Connection> lateClients = new ArrayList<>();
        for (int i = 0; i < 40; i++) { // more than one event loop iteration accepts
            lateClients.add(connectClient());
            lateClients.get(i).sendCommand("PING");
        }
        Thread.sleep(60); // past the time at which the listener was to be closed
        stallPermits.release();
        for (Peer.Connection connection : lateClients) {
            assertEquals(List.of("+PONG"), connection.readMessage());
        }
        draining.join();
    }

    /** An idle client may send a request at the moment of the close; the client then resends it elsewhere. */
    @Test
    void commandsAfterTheEndOfAConnectionAreNotAccepted() throws Exception {
        start();
        Peer.Connection idleClient = connectClient();
        idleClient.sendCommand("PING");
        assertEquals(List.of("+PONG"), idleClient.readMessage());
        drained = true;
        Thread draining = new Thread(node::drain);
        draining.start();
        assertEquals(-1, idleClient.input.read()); // the client's side is still open and read for a while
        sendGet(idleClient, "01", "read", 900);
        draining.join();
        assertTrue(policyEvents.stream().noneMatch(t -> t.startsWith("arrived")), policyEvents.toString());
    }

    private static String refusedCommand(String id) {
        String list = "c=refuse,t=p,d=900,units=2,spread=3,first=1";
        return "*4\r\n$8\r\nCALL.GET\r\n$16\r\n" + CUSTOMER + "\r\n$2\r\n" + id + "\r\n$" + list.length() + "\r\n"
                + list + "\r\n";
    }

    private Thread drainWithSuccessor() {
        new ProcessHandover(stateFolder, "n0")
                .claim(); // from the signal on, connections are closed after their next response
        drained = true;
        Thread draining = new Thread(node::drain);
        draining.start();
        while (node.state().isServing()) {
            Thread.onSpinWait();
        }
        return draining;
    }

    /** The response to the first command must not close the connection if the second was already read. */
    @Test
    void commandsReadTogetherInAShutdownAreAllAnswered() throws Exception {
        start();
        Peer.Connection client = connectClient();
        client.sendCommand("PING");
        assertEquals(List.of("+PONG"), client.readMessage());
        Thread draining = drainWithSuccessor();
        client.write(refusedCommand("01") + refusedCommand("02") + refusedCommand("03"));
        for (int i = 0; i < 3; i++) {
            assertEquals(List.of("-BUSY 1500"), client.readMessage());
        }
        assertEquals(-1, client.input.read());
        draining.join();
    }

    /** The rest would arrive after the process has ended: the client could not know whether the command ran. */
    @Test
    void incompleteCommandIsAnsweredAtTheEndOfTheProcess() throws Exception {
        start();
        Peer.Connection client = connectClient();
        client.sendCommand("PING");
        assertEquals(List.of("+PONG"), client.readMessage());
        Thread draining = drainWithSuccessor();
        client.write(refusedCommand("01").substring(0, 40));
        assertEquals(List.of("-ERR the edge node ends"), client.readMessage());
        assertEquals(-1, client.input.read());
        draining.join();
    }

    /** The request would still be open at SIGKILL. */
    @Test
    void requestPastTheShutdownDeadlineIsRejectedImmediately() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 20_000);
        endpointConnection.readMessage();
        endpointConnection.write("*3\r\n$100000\r\nhalf");
        assertEquals("$100000", client.readLine());
        Thread draining = drainWithSuccessor();
        Thread.sleep(3000); // responses were due after 2400 ms
        sendGet(client, "02", "refuse", 20_000);
        Thread.sleep(100);
        endpointConnection.write("v".repeat(100_000 - 4) + "\r\n$-1\r\n$-1\r\n");
        client.input.readNBytes(100_002); // the value
        assertEquals(List.of("-BUSY"), client.readMessage());
        assertEquals(-1, client.input.read());
        draining.join();
        assertTrue(policyEvents.stream().noneMatch(t -> t.startsWith("arrived 2 ")), policyEvents.toString());
    }

    /** A close with unread bytes would be a reset, which can discard the preceding response. */
    @Test
    void evictedConnectionIsClosedAndNotReset() throws Exception {
        assumeTrue(Epoll.isAvailable()); // NIO does not preserve the order of events
        maxSockets = 40;
        start();
        Peer.Connection longestIdle = connectClient();
        List<Peer.Connection> clients = new ArrayList<>(List.of(longestIdle));
        while (clients.size() < 12) {
            clients.add(connectClient());
        }
        for (Peer.Connection connection : clients) {
            connection.sendCommand("PING");
            assertEquals(List.of("+PONG"), connection.readMessage());
        }
        Peer.Connection busy = connectClient(); // the thirteenth connection, which reaches the limit
        sendGet(busy, "01", "stall", 9000);
        expectRequest(1, "stall");
        Peer.Connection next = connectClient();
        longestIdle.sendCommand("PING");
        stallPermits.release();
        assertEquals(-1, longestIdle.input.read()); // a reset would throw
        next.sendCommand("PING");
        assertEquals(List.of("+PONG"), next.readMessage());
    }

    private void awaitEvent(String text) throws InterruptedException {
        if (seenEvents.contains(text)) {
            return;
        }
        for (String next = ""; !next.equals(text); ) {
            next = policyEvents.poll(10, TimeUnit.SECONDS);
            assertNotNull(next, text);
            seenEvents.add(next);
        }
    }

    private Peer.Connection connectSlowReader() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4096);
        socket.connect(node.listenAddress());
        Peer.Connection client = new Peer.Connection(socket);
        closeables.add(client);
        return client;
    }

    /** Sends requests whose responses partly wait in the node while the client does not read. */
    private List<Peer.Connection> sendRequests(Peer.Connection client) throws Exception {
        List<Peer.Connection> connections = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            sendGet(client, "0" + i, "read", 20_000);
            connections.add(i == 0 ? endpointConnection : endpointPeer.awaitConnection());
            connections.get(i).readMessage();
        }
        return connections;
    }

    private void respondToAll(List<Peer.Connection> connections) throws Exception {
        for (Peer.Connection connection : connections) {
            connection.sendValue(VALUE);
        }
        for (int i = 1; i <= REQUESTS; i++) {
            awaitEvent("ended " + i + " 0 OK true");
        }
    }

    /** All responses of the client are written but not sent: the client only seems idle. */
    @Test
    void slowReaderIsNotEvicted() throws Exception {
        maxSockets = 450;
        start();
        Peer.Connection slow = connectSlowReader();
        respondToAll(sendRequests(slow));
        for (int i = 0; i < 300; i++) { // the connection limit is lower
            Peer.Connection connection = connectClient();
            connection.sendCommand("PING");
            assertEquals(List.of("+PONG"), connection.readMessage());
        }
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(List.of(VALUE), slow.readMessage());
        }
    }

    /** The close that reports the failure must not discard earlier responses, neither immediately nor 2 s later. */
    @Test
    void truncatedValueLeavesEarlierResponsesComplete() throws Exception {
        maxSockets = 450;
        start();
        Peer.Connection slow = connectSlowReader();
        List<Peer.Connection> connections = sendRequests(slow);
        sendGet(slow, "ff", "read", 20_000);
        Peer.Connection last = endpointPeer.awaitConnection();
        last.readMessage();
        last.write("*3\r\n$100000\r\nhalf");
        respondToAll(connections);
        awaitEvent("ended " + (REQUESTS + 1) + " 0 OK true"); // the response has begun, and follows the others
        last.close();
        for (int i = 0; i < REQUESTS; i++) {
            if (i < 40) {
                Thread.sleep(60); // over 2 s in total, with many responses still to be read
            }
            assertEquals(List.of(VALUE), slow.readMessage());
        }
        assertEquals("$100000", slow.readLine());
        assertEquals("half", new String(slow.input.readAllBytes(), StandardCharsets.ISO_8859_1));
    }
}
