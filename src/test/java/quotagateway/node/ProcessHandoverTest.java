package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A second process of the same gateway starts next to the first and replaces it. */
class ProcessHandoverTest extends NodeFixture {
    /** Both processes listen at one address, and the predecessor closes no connection that has open requests. */
    @Test
    void successorAcceptsClientsWhileThePredecessorFinishes() throws Exception {
        start();
        GatewayNode predecessor = node;
        Peer.Connection openClient = connectClient();
        sendGet(openClient, "01", "read", 5000);
        expectRequest(1, "read");
        assertEquals("01", endpointConnection.readMessage().get(2));
        Peer.Connection predecessorEndpointConnection = endpointConnection;
        Peer.Connection incompleteClient = connectClient();
        incompleteClient.write("*4\r\n$8\r\nCALL.GET\r\n$16\r\n" + CUSTOMER + "\r\n$2\r\n02\r\n$19\r\n");
        incompleteClient.write("c=re");

        listenPort = ((InetSocketAddress) predecessor.listenAddress()).getPort();
        start();
        assertEquals("200", callAdmin(node, "GET", "/admin/health").get(0));
        Thread draining = new Thread(predecessor::drain);
        draining.start();
        while (callAdmin(predecessor, "GET", "/admin/health").get(0).equals("200")) {
            Thread.onSpinWait();
        }
        for (int i = 0; i < 100; i++) { // the predecessor accepts and resets none of these connections
            try (Peer.Connection connection = Peer.Connection.connect(listenPort)) {
                sendGet(connection, "1" + i, "refuse", 900);
                assertEquals(List.of("-BUSY 1500"), connection.readMessage());
            }
        }
        incompleteClient.write("fuse,t=p,d=1500\r\n"); // begun before the signal: the predecessor answers the command
        assertEquals(List.of("-BUSY 1500"), incompleteClient.readMessage());
        assertTrue(incompleteClient.awaitEnd());
        predecessorEndpointConnection.sendValue("one");
        assertEquals(List.of("one"), openClient.readMessage());
        assertTrue(openClient.awaitEnd());
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
            assertEquals(1, files.count(), "a temporary file is left");
        }
    }

    /** Both processes share one limit on descriptors, and the predecessor's connections still use theirs. */
    @Test
    void successorAcceptsFewerClientsAtFirst() throws Exception {
        maxSockets = 40;
        new ProcessHandover(stateFolder, "n0").claim();
        start();
        Peer.Connection first = connectClient();
        first.sendCommand("PING");
        assertEquals(List.of("+PONG"), first.readMessage());
        for (int i = 0; i < 13; i++) { // 34 % of 40 are 13: the first connection is evicted
            Peer.Connection connection = connectClient();
            connection.sendCommand("PING");
            assertEquals(List.of("+PONG"), connection.readMessage());
        }
        assertTrue(first.awaitEnd());
    }
}
