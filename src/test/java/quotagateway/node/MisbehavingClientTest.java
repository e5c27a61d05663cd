package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Clients that send malformed input or nothing, that do not read, or that connect in large numbers. */
class MisbehavingClientTest extends NodeFixture {
    private static final String ATTRIBUTES = "c=read,t=p,d=900,units=2,spread=3,first=1";
    private static final String[] MALFORMED_ATTRIBUTE_LISTS = {
        "c=read,t=p",
        "d",
        ATTRIBUTES.replace("900", "x"),
        ATTRIBUTES.replace("900", "-1"),
        ATTRIBUTES.replace("900", "NaN"),
        ATTRIBUTES.replace("900", "0x1p3"),
        ATTRIBUTES.replace("900", "1e30"),
        ATTRIBUTES.replace("units=2", "units=-1"),
        ATTRIBUTES.replace("units=2", "units=1.5"),
        ATTRIBUTES.replace("units=2", "units=NaN"),
        ATTRIBUTES.replace("units=2", "units=0x1p0"),
        ATTRIBUTES.replace("units=2", "units=3"),
        ATTRIBUTES.replace("units=2", "units=99999999999"),
        ATTRIBUTES.replace("spread=3", "spread=0"),
        ATTRIBUTES.replace("spread=3", "spread=5"),
        ATTRIBUTES.replace("first=1", "first=4"),
        ATTRIBUTES.replace("first=1", "first=1e0"),
        ATTRIBUTES.replace("read", "write"),
        ATTRIBUTES.replace("read", "write") + ",k=1"
    };
    private static final String[][] MALFORMED_COMMANDS = {
        {"GET", "x"},
        {"CALL.GET"},
        {"CALL.GET", CUSTOMER, ATTRIBUTES},
        {"CALL.GET", CUSTOMER, "", ATTRIBUTES},
        {"CALL.GET", "x".repeat(16), "01", ATTRIBUTES},
        {"CALL.GET", "0000000200000000", "01", ATTRIBUTES},
        {"CALL.GET", CUSTOMER, "01", ATTRIBUTES, "d", "e"},
        {"CALL.POST", CUSTOMER, "01", ATTRIBUTES, "d"},
        {"CALL.POST", CUSTOMER, "01", "c=write,t=p,d=900"}
    };
    private static final String[] MALFORMED_FRAMES = {
        "GET / HTTP/1.1\r\n\r\n",
        "*1\r\n$536870000\r\n",
        "*1\r\n$x\r\n",
        "*2000000000\r\n",
        "*1\r\n$70000\r\n",
        "*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n$1\r\na\r\n",
        "$3\r\nabcde"
    };

    private static void assertAttributeListsRejected(Peer.Connection client) throws Exception {
        for (String list : MALFORMED_ATTRIBUTE_LISTS) {
            client.sendCommand("CALL.GET", CUSTOMER, "01", list);
            assertTrue(client.readMessage().get(0).startsWith("-ERR "), list);
        }
    }

    private static void assertCommandsRejected(Peer.Connection client) throws Exception {
        for (String[] words : MALFORMED_COMMANDS) {
            client.sendCommand(words);
            assertTrue(client.readMessage().get(0).startsWith("-ERR "), String.join(" ", words));
        }
        client.write("*4\r\n$8\r\nCALL.GET\r\n$-1\r\n*1\r\n+x\r\n:5\r\n");
        assertTrue(client.readMessage().get(0).startsWith("-ERR "));
    }

    private void assertMalformedFramesRejected() throws Exception {
        for (String frame : MALFORMED_FRAMES) {
            Peer.Connection other = connectClient();
            other.write(frame);
            assertTrue(other.readMessage().get(0).startsWith("-ERR "), frame);
            assertTrue(other.awaitEnd(), frame);
        }
    }

    /** No crash, hang or unbounded buffer: the answer is an error, followed by a close after a malformed frame. */
    @Test
    void malformedInputIsAnsweredWithAnError() throws Exception {
        start();
        Peer.Connection client = connectClient();
        assertAttributeListsRejected(client);
        assertCommandsRejected(client);
        assertMalformedFramesRejected();
        sendGet(client, "01", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
    }

    /** An endpoint could not distinguish two open requests with one id; the id of a completed request is reusable. */
    @Test
    void secondRequestWithAnOpenIdIsRefused() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "hold", 400);
        expectRequest(1, "hold");
        Peer.Connection other = connectClient();
        sendGet(other, "01", "refuse", 900);
        assertTrue(other.readMessage().get(0).startsWith("-ERR "));
        assertEquals(List.of("-ERR failed"), client.readMessage());
        sendGet(other, "01", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), other.readMessage());
    }

    /** The error follows the responses to all earlier open requests, so these requests fail immediately. */
    @Test
    void malformedFrameIsAnsweredImmediatelyAfterOpenRequests() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "hold", 60_000);
        expectRequest(1, "hold");
        client.write("*4\r\n$99999999\r\n");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        assertTrue(client.readMessage().get(0).startsWith("-ERR "));
        assertTrue(client.awaitEnd());
        expectEvent("gone 1");
    }

    /** Silent and incomplete connections must not block other clients; a client that has sent a request may stay. */
    @Test
    void silentAndIncompleteConnectionsAreClosed() throws Exception {
        start();
        Peer.Connection activeClient = connectClient();
        activeClient.sendCommand("PING");
        assertEquals(List.of("+PONG"), activeClient.readMessage());
        Peer.Connection silent = connectClient();
        Peer.Connection incomplete = connectClient();
        incomplete.write("*4\r\n$8\r\nCALL.G");
        Peer.Connection incompleteAfterPing = connectClient();
        incompleteAfterPing.sendCommand("PING");
        assertEquals(List.of("+PONG"), incompleteAfterPing.readMessage());
        incompleteAfterPing.write("*1\r\n$4\r\nPI");
        for (Peer.Connection connection : List.of(silent, incomplete, incompleteAfterPing)) {
            assertTrue(connection.readMessage().get(0).startsWith("-ERR "));
            assertTrue(connection.awaitEnd());
        }
        activeClient.sendCommand("PING");
        assertEquals(List.of("+PONG"), activeClient.readMessage());
    }

    /** The node does not wait indefinitely for a client to read its responses. */
    @Test
    void clientThatNeverReadsDoesNotPreventShutdown() throws Exception {
        maxSockets = 1024;
        start();
        Peer.Connection client = connectClient();
        String value = "v".repeat(64 * 1024);
        List<Peer.Connection> connections = new ArrayList<>();
        for (int i = 0; i < 140; i++) { // more than the socket buffers hold
            sendGet(client, "0" + i, "read", 20_000);
            connections.add(i == 0 ? endpointConnection : endpointPeer.awaitConnection());
            connections.get(i).readMessage();
        }
        for (Peer.Connection connection : connections) {
            connection.sendValue(value);
        }
        drained = true;
        node.drain(); // a node that waits for the client would exceed the test's timeout
    }

    /** At the connection limit an idle connection is closed for each new one, which could not be accepted otherwise. */
    @Test
    void newClientsEvictTheLongestIdle() throws Exception {
        maxSockets = 40;
        start();
        List<Peer.Connection> connections = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            Peer.Connection connection = connectClient();
            connection.sendCommand("PING");
            assertEquals(List.of("+PONG"), connection.readMessage());
            connections.add(connection);
        }
        for (int i = 0; i < 40 - 13; i++) { // the limit is 13, a third of 40: the node itself needs the rest
            assertTrue(connections.get(i).awaitEnd());
        }
        sendGet(connections.get(39), "01", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), connections.get(39).readMessage());
    }

    /** An incomplete command may be a valid request on a slow connection: silent connections are evicted first. */
    @Test
    void incompleteCommandIsEvictedLast() throws Exception {
        maxSockets = 40;
        start();
        Peer.Connection slow = connectClient();
        slow.write("*1\r\n$4\r\nPI");
        Peer.Connection silent = connectClient();
        Thread.sleep(600); // both may be evicted from here on
        for (int i = 0; i < 40; i++) {
            Peer.Connection connection = connectClient();
            connection.sendCommand("PING");
            assertEquals(List.of("+PONG"), connection.readMessage());
        }
        assertTrue(silent.awaitEnd());
        slow.write("NG\r\n");
        assertEquals(List.of("+PONG"), slow.readMessage());
    }

    /** Silent connections that arrive together are evicted after 0.5 s, before their timeout of 2.5 s. */
    @Test
    void silentConnectionsAreEvictedEarlyForANewClient() throws Exception {
        maxSockets = 40;
        start();
        List<Peer.Connection> silent = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            silent.add(connectClient());
        }
        Peer.Connection activeClient = connectClient();
        activeClient.sendCommand("PING");
        assertEquals(List.of("+PONG"), activeClient.readMessage());
        assertTrue(silent.get(0).awaitEnd(), "the evicted client received bytes before the close");
    }
}
