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
import java.util.Map;
import java.util.Set;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import quotagateway.config.GatewayConfig;
import quotagateway.config.Json;

/** What is owed when a request, a connection or the process ends at a rare moment. */
class RequestEndTest extends NodeFixture {
    /** More than the sockets' buffers hold. */
    private static final int CALLS = 110;

    private static final String VALUE = "v".repeat(64 * 1024);

    private final Set<String> seen = new HashSet<>();

    /** Where the module may not cancel, an attempt that waited for its connection was sent all the same. */
    @Test
    void aRequestThatIsOverIsNotSentWhenItsConnectionComesUp() throws Exception {
        start();
        Peer.Line client = client();
        get(client, "01", "read", 1500);
        arrived(1, "read");
        assertEquals("01", server.message().get(2));
        get(client, "02", "drop", 1500); // the one connection is taken: another has to come up
        arrived(2, "drop");
        expect("ended 2 0 NOT_SENT true");
        Peer.Line second = app.accept();
        get(client, "03", "read", 1500);
        assertEquals("03", second.message().get(2));
    }

    /** A counter that takes a connection and ends it without a word was called as fast as the loop went. */
    @Test
    void aCounterThatEndsEachConnectionIsNotAskedWithoutAPause() throws Exception {
        start();
        int came = 0;
        long until = System.nanoTime() + 1_000_000_000L;
        for (Peer.Line line = counter.poll(1000); System.nanoTime() < until; line = counter.poll(1000)) {
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
    void connectionsMadeAheadStayWithinTheServersPart() throws Exception {
        sockets = 40;
        start();
        String[] hosts = new String[14];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = entry("s" + i, app.address(), "active");
        }
        push(list(42, true, hosts));
        for (int i = 1; i < 10; i++) { // a quarter of 40
            app.accept();
        }
        assertNull(app.poll(200));
        get(client(), "01", "read", 1500);
        assertEquals("01", server.message().get(2));
    }

    /** The bind came after the end: it failed, or let clients in whom nobody was left to answer. */
    @Test
    void whoIsToldToEndDuringItsStartDoesNotListen() throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            listen = free.getLocalPort();
        }
        NodeFixture.Script script = new NodeFixture.Script();
        node = new GatewayNode(
                GatewayConfig.of(Json.read(config()), Map.of("TMPDIR", state.toString())),
                (settings, seed, now, actions) -> {
                    script.act = actions;
                    return script;
                });
        FutureTask<Void> starting = new FutureTask<>(() -> {
            node.start();
            return null;
        });
        new Thread(starting).start();
        expect("whole s0 UP"); // discovery does not answer: the start waits for it
        drained = true;
        node.drain();
        starting.get();
        assertNull(node.listenAddress());
        assertThrows(ConnectException.class, () -> Peer.Line.to(listen));
    }

    /** A loop that was late closed the listener over clients that had connected meanwhile. */
    @Test
    void whoHasConnectedIsAnsweredThoughTheLoopIsLate() throws Exception {
        start();
        new ProcessHandover(state, "n0").claim(); // the end begins at once
        Peer.Line first = client();
        Peer.Line second = client();
        second.command("PING");
        assertEquals(List.of("+PONG"), second.message());
        get(first, "01", "stall", 9000);
        arrived(1, "stall");
        get(second, "02", "stall", 9000);
        drained = true;
        Thread draining = new Thread(node::drain);
        draining.start();
        while (draining.getState() != Thread.State.WAITING) { // for the end, which is the loop's to tell
            Thread.onSpinWait();
        }
        stall.release(); // it stops listening, reads the second, and
        arrived(2, "stall");
        List<Peer.Line> late = new ArrayList<>();
        for (int i = 0; i < 40; i++) { // more than are accepted in a round
            late.add(client());
            late.get(i).command("PING");
        }
        Thread.sleep(60); // is later than the listener's end is due
        stall.release();
        for (Peer.Line line : late) {
            assertEquals(List.of("+PONG"), line.message());
        }
        draining.join();
    }

    /** A client that rests until it is ended may send in that moment: it asks once more elsewhere. */
    @Test
    void whatComesBehindTheEndIsNotTaken() throws Exception {
        start();
        Peer.Line resting = client();
        resting.command("PING");
        assertEquals(List.of("+PONG"), resting.message());
        drained = true;
        Thread draining = new Thread(node::drain);
        draining.start();
        assertEquals(-1, resting.in.read()); // its side is open, and read, for a while
        get(resting, "01", "read", 900);
        draining.join();
        assertTrue(told.stream().noneMatch(t -> t.startsWith("arrived")), told.toString());
    }

    private static String refused(String id) {
        String list = "c=refuse,t=p,d=900,units=2,spread=3,first=1";
        return "*4\r\n$8\r\nCALL.GET\r\n$16\r\n" + CUSTOMER + "\r\n$2\r\n" + id + "\r\n$" + list.length() + "\r\n"
                + list + "\r\n";
    }

    private Thread drainBesideANewProcess() {
        new ProcessHandover(state, "n0").claim(); // connections end behind their next answer from the signal on
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
    void commandsThatCameTogetherInAShutdownAreAllAnswered() throws Exception {
        start();
        Peer.Line client = client();
        client.command("PING");
        assertEquals(List.of("+PONG"), client.message());
        Thread draining = drainBesideANewProcess();
        client.write(refused("01") + refused("02") + refused("03"));
        for (int i = 0; i < 3; i++) {
            assertEquals(List.of("-BUSY 1500"), client.message());
        }
        assertEquals(-1, client.in.read());
        draining.join();
    }

    /** Its rest came to a process that had gone: whether it had been taken, nobody could tell. */
    @Test
    void halfACommandIsToldOfTheEndOfTheProcess() throws Exception {
        start();
        Peer.Line client = client();
        client.command("PING");
        assertEquals(List.of("+PONG"), client.message());
        Thread draining = drainBesideANewProcess();
        client.write(refused("01").substring(0, 40));
        assertEquals(List.of("-ERR the edge node ends"), client.message());
        assertEquals(-1, client.in.read());
        draining.join();
    }

    /** It was taken past the bound of the shutdown, and open when the kill came. */
    @Test
    void whatComesWhenAllHadToBeAnsweredIsRefusedAtOnce() throws Exception {
        start();
        Peer.Line client = client();
        get(client, "01", "read", 20_000);
        server.message();
        server.write("*3\r\n$100000\r\nhalf");
        assertEquals("$100000", client.line());
        Thread draining = drainBesideANewProcess();
        Thread.sleep(3000); // answers were due after 2400
        get(client, "02", "refuse", 20_000);
        Thread.sleep(100);
        server.write("v".repeat(100_000 - 4) + "\r\n$-1\r\n$-1\r\n");
        client.in.readNBytes(100_002); // the value
        assertEquals(List.of("-BUSY"), client.message());
        assertEquals(-1, client.in.read());
        draining.join();
        assertTrue(told.stream().noneMatch(t -> t.startsWith("arrived 2 ")), told.toString());
    }

    /** Closed over bytes that had not been read, its connection was reset. */
    @Test
    void whoMakesRoomIsEndedAndNotReset() throws Exception {
        assumeTrue(Epoll.isAvailable()); // what came first is told first
        sockets = 40;
        start();
        Peer.Line idlest = client();
        List<Peer.Line> all = new ArrayList<>(List.of(idlest));
        while (all.size() < 12) {
            all.add(client());
        }
        for (Peer.Line line : all) {
            line.command("PING");
            assertEquals(List.of("+PONG"), line.message());
        }
        Peer.Line busy = client(); // the thirteenth
        get(busy, "01", "stall", 9000);
        arrived(1, "stall");
        Peer.Line next = client();
        idlest.command("PING");
        stall.release();
        assertEquals(-1, idlest.in.read()); // else it throws
        next.command("PING");
        assertEquals(List.of("+PONG"), next.message());
    }

    private void await(String text) throws InterruptedException {
        if (seen.contains(text)) {
            return;
        }
        for (String next = ""; !next.equals(text); ) {
            next = told.poll(10, TimeUnit.SECONDS);
            assertNotNull(next, text);
            seen.add(next);
        }
    }

    private Peer.Line smallWindow() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4096);
        socket.connect(node.listenAddress());
        Peer.Line client = new Peer.Line(socket);
        open.add(client);
        return client;
    }

    /** Asks for so much that it stands in the node while the client does not read. */
    private List<Peer.Line> calls(Peer.Line client) throws Exception {
        List<Peer.Line> lines = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            get(client, "0" + i, "read", 20_000);
            lines.add(i == 0 ? server : app.accept());
            lines.get(i).message();
        }
        return lines;
    }

    private void answer(List<Peer.Line> lines) throws Exception {
        for (Peer.Line line : lines) {
            line.value(VALUE);
        }
        for (int i = 1; i <= CALLS; i++) {
            await("ended " + i + " 0 OK true");
        }
    }

    /** All its answers are written: it was as idle as any, and cut off. */
    @Test
    void aSlowReaderDoesNotMakeRoom() throws Exception {
        sockets = 450;
        start();
        Peer.Line slow = smallWindow();
        answer(calls(slow));
        for (int i = 0; i < 300; i++) { // the bound is below that
            Peer.Line line = client();
            line.command("PING");
            assertEquals(List.of("+PONG"), line.message());
        }
        for (int i = 0; i < CALLS; i++) {
            assertEquals(List.of(VALUE), slow.message());
        }
    }

    /** The end that tells of it took the answers before it along, at once or 2 s later. */
    @Test
    void aValueThatBreaksOffLeavesTheAnswersBeforeItWhole() throws Exception {
        sockets = 450;
        start();
        Peer.Line slow = smallWindow();
        List<Peer.Line> lines = calls(slow);
        get(slow, "ff", "read", 20_000);
        Peer.Line last = app.accept();
        last.message();
        last.write("*3\r\n$100000\r\nhalf");
        answer(lines);
        await("ended " + (CALLS + 1) + " 0 OK true"); // it has begun, and has its turn behind the others
        last.close();
        for (int i = 0; i < CALLS; i++) {
            if (i < 40) {
                Thread.sleep(60); // over 2 s, with much of it to come
            }
            assertEquals(List.of(VALUE), slow.message());
        }
        assertEquals("$100000", slow.line());
        assertEquals("half", new String(slow.in.readAllBytes(), StandardCharsets.ISO_8859_1));
    }
}
