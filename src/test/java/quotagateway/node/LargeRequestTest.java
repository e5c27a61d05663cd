package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Requests with values above 64 KiB, which go on to an app server as they come. */
class LargeRequestTest extends NodeFixture {
    private static final int LARGE = 4 << 20;
    private static final int FIRST = 100_000;
    private static final byte[] VALUE = new byte[LARGE];

    static {
        new Random(1).nextBytes(VALUE);
    }

    private static void head(Peer.Connection client, String id, String list, int length) throws Exception {
        client.write("*5\r\n$9\r\nCALL.POST\r\n$16\r\n" + CUSTOMER + "\r\n$" + id.length() + "\r\n" + id + "\r\n$"
                + list.length() + "\r\n" + list + "\r\n$" + length + "\r\n");
    }

    private static void value(Peer.Connection client, int from, int to) throws Exception {
        client.socket.getOutputStream().write(VALUE, from, to - from);
    }

    private static String list(String type) {
        return "c=" + type + ",t=p,d=5000,k=5c0f,units=2,spread=3,first=1";
    }

    /** Sends the first bytes; the app server has them while the rest is still to come. */
    private void begin(Peer.Connection client) throws Exception {
        head(client, "01", list("write"), LARGE);
        value(client, 0, FIRST);
        expectRequest(1, "write");
        assertEquals("*5", endpointConnection.readLine());
        for (int i = 0; i < 4; i++) {
            endpointConnection.readMessage();
        }
        assertEquals("$" + LARGE, endpointConnection.readLine());
        assertArrayEquals(java.util.Arrays.copyOf(VALUE, FIRST), endpointConnection.input.readNBytes(FIRST));
    }

    @Test
    void largeValueReachesTheEndpointWhileItStillComes() throws Exception {
        start();
        Peer.Connection client = connectClient();
        begin(client);
        assertTrue(callAdmin(node, "GET", "/admin/stats").get(1).contains("relayed_total 0\n"));
        Thread rest = new Thread(() -> {
            try {
                value(client, FIRST, LARGE);
                client.write("\r\n");
            } catch (Exception e) {
                policyEvents.add("client: " + e);
            }
        });
        rest.start();
        assertArrayEquals(
                java.util.Arrays.copyOfRange(VALUE, FIRST, LARGE), endpointConnection.input.readNBytes(LARGE - FIRST));
        assertEquals("", endpointConnection.readLine());
        rest.join();
        endpointConnection.sendValue("done");
        assertEquals(List.of("done"), client.readMessage());
        expectEvent("ended 1 0 OK true");
        assertTrue(callAdmin(node, "GET", "/admin/stats").get(1).contains("relayed_total 1\n"));
        sendGet(client, "02", "read", 900); // both connections are as good as before
        assertEquals("02", endpointConnection.readMessage().get(2));
        endpointConnection.sendValue("small");
        assertEquals(List.of("small"), client.readMessage());
    }

    /** What has gone out with the first attempt is not there for a second one; and nothing has run. */
    @Test
    void partlySentValueIsNotSentAgain() throws Exception {
        start();
        Peer.Connection client = connectClient();
        begin(client);
        endpointConnection.close();
        expectEvent("ended 1 0 NO_CONNECTION false");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        value(client, FIRST, LARGE);
        client.write("\r\n");
        sendGet(client, "02", "refuse", 900); // the next command is found behind the rest
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
        assertNull(endpointPeer.pollConnection(100));
    }

    @Test
    void disconnectedClientLeavesAnIncompleteCommandThatNeverRuns() throws Exception {
        start();
        Peer.Connection client = connectClient();
        begin(client);
        client.close();
        expectEvent("gone 1");
        expectEvent("ended 1 0 CANCELLED true");
        assertTrue(endpointConnection.awaitEnd());
    }

    /** Held for quotas or servers: no more than the first part is read meanwhile. */
    @Test
    void valueThatNoEndpointTakesIsNotReadOn() throws Exception {
        start();
        Peer.Connection client = connectClient();
        head(client, "01", list("hold").replace("5000", "700"), LARGE);
        Thread all = new Thread(() -> {
            try {
                value(client, 0, LARGE);
                client.write("\r\n");
            } catch (Exception e) {
                policyEvents.add("client: " + e);
            }
        });
        all.start();
        expectRequest(1, "hold"); // never sent on: it fails at its deadline, and the rest is dropped
        assertEquals(List.of("-ERR failed"), client.readMessage());
        all.join();
        sendGet(client, "02", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
    }

    @Test
    void valueThatStopsComingIsEnded() throws Exception {
        start();
        Peer.Connection before = connectClient();
        head(before, "02", list("write"), LARGE);
        value(before, 0, 1000); // no server looked for yet
        Peer.Connection client = connectClient();
        begin(client);
        assertEquals(List.of("-ERR failed"), client.readMessage());
        assertTrue(client.readMessage().get(0).startsWith("-ERR no whole command"));
        assertTrue(client.awaitEnd());
        assertTrue(before.readMessage().get(0).startsWith("-ERR no whole command"));
        assertTrue(before.awaitEnd());
        assertTrue(endpointConnection.awaitEnd());
    }

    /** The value of a command that is refused at its head is read and dropped. */
    @Test
    void malformedCommandsWithLargeValuesAreRefused() throws Exception {
        start();
        Peer.Connection client = connectClient();
        head(client, "01", "c=write,t=p", FIRST);
        value(client, 0, FIRST);
        client.write("\r\n");
        assertTrue(client.readMessage().get(0).startsWith("-ERR c, t and d"));
        client.write("*5\r\n$4\r\nPING\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$" + FIRST + "\r\n");
        value(client, 0, FIRST);
        client.write("\r\n");
        assertEquals(List.of("+PONG"), client.readMessage());
        sendGet(client, "02", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
        String four = "$1\r\na\r\n".repeat(4);
        for (String bad : new String[] {
            "*5\r\n$1\r\na\r\n$70000\r\n", "*4\r\n" + four + "$70000\r\n", "*5\r\n" + four + "$4194305\r\n"
        }) {
            Peer.Connection other = connectClient();
            other.write(bad);
            String answer = other.readMessage().get(0);
            assertTrue(answer.startsWith("-ERR "), answer);
        }
    }
}
