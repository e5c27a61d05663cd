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

/** What is owed when a request, a connection or the process ends at a rare moment. */
class RequestEndTest extends NodeFixture {
    /** More than the sockets' buffers hold. */
    private static final int CALLS = 110;

    private static final String VALUE = "v".repeat(64 * 1024);

    private final Set<String> seen = new HashSet<>();

    /** Where the module may not cancel, an attempt that waited for its connection was sent all the same. */
    @Test
    void completedRequestIsNotSentWhenItsConnectionComesUp() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 1500);
        expectRequest(1, "read");
        assertEquals("01", endpointConnection.readMessage().get(2));
        sendGet(client, "02", "drop", 1500); // the one connection is taken: another has to come up
        expectRequest(2, "drop");
        expectEvent("ended 2 0 NOT_SENT true");
        Peer.Connection second = endpointPeer.awaitConnection();
        sendGet(client, "03", "read", 1500);
        assertEquals("03", second.readMessage().get(2));
    }

    /** A counter that takes a connection and ends it without a word was called as fast as the loop went. */
    @Test
    void counterThatClosesEachConnectionIsNotCalledWithoutAPause() throws Exception {
        start();
        int came = 0;
        long until = System.nanoTime() + 1_000_000_000L;
        for (Peer.Connection line = counterPeer.pollConnection(1000);
                System.nanoTime() < until;
                line = counterPeer.pollConnection(1000)) {
            if (line != null) {
                came++;
                line.close();
            }
        }
        assertTrue(came >= 8, "each line comes again: " + came);
        assertTrue(came <= 40, came + " connections of four lines in a second");
    }

    /** Connections made ahead, one for each server of a list, took the descriptors of all others. */
    @Test
    void connectionsMadeAheadStayWithinTheEndpointsBudget() throws Exception {
        maxSockets = 40;
        start();
        String[] hosts = new String[14];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = entry("s" + i, endpointPeer.address(), "active");
        }
        pushToWatch(list(42, true, hosts));
        for (int i = 1; i < 10; i++) { // a quarter of 40
            endpointPeer.awaitConnection();
        }
        assertNull(endpointPeer.pollConnection(200));
        sendGet(connectClient(), "01", "read", 1500);
        assertEquals("01", endpointConnection.readMessage().get(2));
    }

    /** The bind came after the end: it failed, or let clients in whom nobody was left to answer. */
    @Test
    void nodeToldToEndDuringItsStartDoesNotListen() throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            listenPort = free.getLocalPort();
        }
        node = newNode(configJson());
        FutureTask<Void> starting = new FutureTask<>(() -> {
            node.start();
            return null;
        });
        new Thread(starting).start();
        expectEvent("whole s0 UP"); // discovery does not answer: the start waits for it
        drained = true;
        node.drain();
        starting.get();
        assertNull(node.listenAddress());
        assertThrows(ConnectException.class, () -> Peer.Connection.connect(listenPort));
    }

    /** A loop that was late closed the listener over clients that had connected meanwhile. */
    @Test
    void connectedClientsAreAnsweredThoughTheLoopIsLate() throws Exception {
        start();
        new ProcessHandover(stateFolder, "n0").claim(); // the end begins at once
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
        while (draining.getState() != Thread.State.WAITING) { // for the end, which is the loop's to tell
            Thread.onSpinWait();
        }
        stallPermits.release(); // it stops listening, reads the second, and
        expectRequest(2, "stall");
        List<Peer.Connection> late = new ArrayList<>();
        for (int i = 0; i < 40; i++) { // more than are accepted in a round
            late.add(connectClient());
            late.get(i).sendCommand("PING");
        }
        Thread.sleep(60); // is later than the listener's end is due
        stallPermits.release();
        for (Peer.Connection line : late) {
            assertEquals(List.of("+PONG"), line.readMessage());
        }
        draining.join();
    }

    /** A client that rests until it is ended may send in that moment: it asks once more elsewhere. */
    @Test
    void commandsBehindTheEndOfAConnectionAreNotAccepted() throws Exception {
        start();
        Peer.Connection resting = connectClient();
        resting.sendCommand("PING");
        assertEquals(List.of("+PONG"), resting.readMessage());
        drained = true;
        Thread draining = new Thread(node::drain);
        draining.start();
        assertEquals(-1, resting.input.read()); // its side is open, and read, for a while
        sendGet(resting, "01", "read", 900);
        draining.join();
        assertTrue(policyEvents.stream().noneMatch(t -> t.startsWith("arrived")), policyEvents.toString());
    }

    private static String refused(String id) {
        String list = "c=refuse,t=p,d=900,units=2,spread=3,first=1";
        return "*4\r\n$8\r\nCALL.GET\r\n$16\r\n" + CUSTOMER + "\r\n$2\r\n" + id + "\r\n$" + list.length() + "\r\n"
                + list + "\r\n";
    }

    private Thread drainBesideANewProcess() {
        new ProcessHandover(stateFolder, "n0").claim(); // connections end behind their next answer from the signal on
        drained = true;
        Thread draining = new Thread(node::drain);
        draining.start();
        while (node.state().isServing()) {
            Thread.onSpinWait();
        }
        return draining;
    }

    /** The first one's answer ended the connection, over a second one that had been read with it. */
    @Test
    void commandsReadTogetherInAShutdownAreAllAnswered() throws Exception {
        start();
        Peer.Connection client = connectClient();
        client.sendCommand("PING");
        assertEquals(List.of("+PONG"), client.readMessage());
        Thread draining = drainBesideANewProcess();
        client.write(refused("01") + refused("02") + refused("03"));
        for (int i = 0; i < 3; i++) {
            assertEquals(List.of("-BUSY 1500"), client.readMessage());
        }
        assertEquals(-1, client.input.read());
        draining.join();
    }

    /** Its rest came to a process that had gone: whether it had been taken, nobody could tell. */
    @Test
    void incompleteCommandIsAnsweredAtTheEndOfTheProcess() throws Exception {
        start();
        Peer.Connection client = connectClient();
        client.sendCommand("PING");
        assertEquals(List.of("+PONG"), client.readMessage());
        Thread draining = drainBesideANewProcess();
        client.write(refused("01").substring(0, 40));
        assertEquals(List.of("-ERR the edge node ends"), client.readMessage());
        assertEquals(-1, client.input.read());
        draining.join();
    }

    /** It was taken past the bound of the shutdown, and open when the kill came. */
    @Test
    void requestPastTheShutdownDeadlineIsRejectedAtOnce() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 20_000);
        endpointConnection.readMessage();
        endpointConnection.write("*3\r\n$100000\r\nhalf");
        assertEquals("$100000", client.readLine());
        Thread draining = drainBesideANewProcess();
        Thread.sleep(3000); // answers were due after 2400
        sendGet(client, "02", "refuse", 20_000);
        Thread.sleep(100);
        endpointConnection.write("v".repeat(100_000 - 4) + "\r\n$-1\r\n$-1\r\n");
        client.input.readNBytes(100_002); // the value
        assertEquals(List.of("-BUSY"), client.readMessage());
        assertEquals(-1, client.input.read());
        draining.join();
        assertTrue(policyEvents.stream().noneMatch(t -> t.startsWith("arrived 2 ")), policyEvents.toString());
    }

    /** Closed over bytes that had not been read, its connection was reset. */
    @Test
    void evictedConnectionIsClosedAndNotReset() throws Exception {
        assumeTrue(Epoll.isAvailable()); // what came first is told first
        maxSockets = 40;
        start();
        Peer.Connection idlest = connectClient();
        List<Peer.Connection> all = new ArrayList<>(List.of(idlest));
        while (all.size() < 12) {
            all.add(connectClient());
        }
        for (Peer.Connection line : all) {
            line.sendCommand("PING");
            assertEquals(List.of("+PONG"), line.readMessage());
        }
        Peer.Connection busy = connectClient(); // the thirteenth
        sendGet(busy, "01", "stall", 9000);
        expectRequest(1, "stall");
        Peer.Connection next = connectClient();
        idlest.sendCommand("PING");
        stallPermits.release();
        assertEquals(-1, idlest.input.read()); // else it throws
        next.sendCommand("PING");
        assertEquals(List.of("+PONG"), next.readMessage());
    }

    private void await(String text) throws InterruptedException {
        if (seen.contains(text)) {
            return;
        }
        for (String next = ""; !next.equals(text); ) {
            next = policyEvents.poll(10, TimeUnit.SECONDS);
            assertNotNull(next, text);
            seen.add(next);
        }
    }

    private Peer.Connection smallWindow() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4096);
        socket.connect(node.listenAddress());
        Peer.Connection client = new Peer.Connection(socket);
        closeables.add(client);
        return client;
    }

    /** Asks for so much that it stands in the node while the client does not read. */
    private List<Peer.Connection> calls(Peer.Connection client) throws Exception {
        List<Peer.Connection> lines = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            sendGet(client, "0" + i, "read", 20_000);
            lines.add(i == 0 ? endpointConnection : endpointPeer.awaitConnection());
            lines.get(i).readMessage();
        }
        return lines;
    }

    private void readHttpResponse(List<Peer.Connection> lines) throws Exception {
        for (Peer.Connection line : lines) {
            line.sendValue(VALUE);
        }
        for (int i = 1; i <= CALLS; i++) {
            await("ended " + i + " 0 OK true");
        }
    }

    /** All its answers are written: it was as idle as any, and cut off. */
    @Test
    void slowReaderIsNotEvicted() throws Exception {
        maxSockets = 450;
        start();
        Peer.Connection slow = smallWindow();
        readHttpResponse(calls(slow));
        for (int i = 0; i < 300; i++) { // the bound is below that
            Peer.Connection line = connectClient();
            line.sendCommand("PING");
            assertEquals(List.of("+PONG"), line.readMessage());
        }
        for (int i = 0; i < CALLS; i++) {
            assertEquals(List.of(VALUE), slow.readMessage());
        }
    }

    /** The end that tells of it took the answers before it along, at once or 2 s later. */
    @Test
    void valueThatBreaksOffLeavesEarlierResponsesWhole() throws Exception {
        maxSockets = 450;
        start();
        Peer.Connection slow = smallWindow();
        List<Peer.Connection> lines = calls(slow);
        sendGet(slow, "ff", "read", 20_000);
        Peer.Connection last = endpointPeer.awaitConnection();
        last.readMessage();
        last.write("*3\r\n$100000\r\nhalf");
        readHttpResponse(lines);
        await("ended " + (CALLS + 1) + " 0 OK true"); // it has begun, and has its turn behind the others
        last.close();
        for (int i = 0; i < CALLS; i++) {
            if (i < 40) {
                Thread.sleep(60); // over 2 s, with much of it to come
            }
            assertEquals(List.of(VALUE), slow.readMessage());
        }
        assertEquals("$100000", slow.readLine());
        assertEquals("half", new String(slow.input.readAllBytes(), StandardCharsets.ISO_8859_1));
    }
}
