package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A second process of the same edge node comes up beside the first, and takes its place. */
class ProcessHandoverTest extends NodeFixture {
    /** The second could not bind; the first ended connections with requests on them. */
    @Test
    void successorAcceptsClientsWhileThePredecessorFinishes() throws Exception {
        start();
        GatewayNode old = node;
        Peer.Connection before = connectClient();
        sendGet(before, "01", "read", 5000);
        expectRequest(1, "read");
        assertEquals("01", endpointConnection.readMessage().get(2));
        Peer.Connection oldServer = endpointConnection;
        Peer.Connection half = connectClient();
        half.write("*4\r\n$8\r\nCALL.GET\r\n$16\r\n" + CUSTOMER + "\r\n$2\r\n02\r\n$19\r\n");
        half.write("c=re");

        listenPort = ((InetSocketAddress) old.listenAddress()).getPort();
        start();
        assertEquals("200", callAdmin(node, "GET", "/admin/health").get(0));
        Thread draining = new Thread(old::drain);
        draining.start();
        while (callAdmin(old, "GET", "/admin/health").get(0).equals("200")) {
            Thread.onSpinWait();
        }
        for (int i = 0; i < 100; i++) { // none is let in by the old one and reset
            try (Peer.Connection line = Peer.Connection.connect(listenPort)) {
                sendGet(line, "1" + i, "refuse", 900);
                assertEquals(List.of("-BUSY 1500"), line.readMessage());
            }
        }
        half.write("fuse,t=p,d=1500\r\n"); // begun before: taken by the old one, and answered
        assertEquals(List.of("-BUSY 1500"), half.readMessage());
        assertTrue(half.awaitEnd());
        oldServer.sendValue("one");
        assertEquals(List.of("one"), before.readMessage());
        assertTrue(before.awaitEnd());
        draining.join();
        assertEquals("200", callAdmin(node, "GET", "/admin/health").get(0));
    }

    @Test
    void claimOfASecondProcessIsSeenByTheFirst() throws Exception {
        Path folder = stateFolder;
        ProcessHandover first = new ProcessHandover(folder, "n0");
        assertFalse(first.hasSuccessor(), "no file yet");
        assertFalse(first.hasPredecessor());
        first.claim();
        assertTrue(new ProcessHandover(folder, "n0").hasPredecessor());
        assertFalse(first.hasSuccessor());
        ProcessHandover second = new ProcessHandover(folder, "n0");
        second.claim();
        assertTrue(first.hasSuccessor());
        assertFalse(second.hasSuccessor());
        assertFalse(new ProcessHandover(folder.resolve("none"), "n0").hasSuccessor(), "no such folder");
        try (var files = Files.list(folder)) {
            assertEquals(1, files.count(), "nothing half written is left");
        }
    }

    /** The two share one limit on sockets: the new one leaves the old one's connections their places. */
    @Test
    void successorAcceptsFewerClientsAtFirst() throws Exception {
        maxSockets = 40;
        new ProcessHandover(stateFolder, "n0").claim();
        start();
        Peer.Connection first = connectClient();
        first.sendCommand("PING");
        assertEquals(List.of("+PONG"), first.readMessage());
        for (int i = 0; i < 13; i++) { // 34 in 100 of 40 with it
            Peer.Connection line = connectClient();
            line.sendCommand("PING");
            assertEquals(List.of("+PONG"), line.readMessage());
        }
        assertTrue(first.awaitEnd());
    }
}
