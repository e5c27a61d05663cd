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

    private static void head(Peer.Line client, String id, String list, int length) throws Exception {
        client.write("*5\r\n$9\r\nCALL.POST\r\n$16\r\n" + CUSTOMER + "\r\n$" + id.length() + "\r\n" + id + "\r\n$"
                + list.length() + "\r\n" + list + "\r\n$" + length + "\r\n");
    }

    private static void value(Peer.Line client, int from, int to) throws Exception {
        client.socket.getOutputStream().write(VALUE, from, to - from);
    }

    private static String list(String type) {
        return "c=" + type + ",t=p,d=5000,k=5c0f,units=2,spread=3,first=1";
    }

    /** Sends the first bytes; the app server has them while the rest is still to come. */
    private void begin(Peer.Line client) throws Exception {
        head(client, "01", list("write"), LARGE);
        value(client, 0, FIRST);
        arrived(1, "write");
        assertEquals("*5", server.line());
        for (int i = 0; i < 4; i++) {
            server.message();
        }
        assertEquals("$" + LARGE, server.line());
        assertArrayEquals(java.util.Arrays.copyOf(VALUE, FIRST), server.in.readNBytes(FIRST));
    }

    @Test
    void aLargeValueReachesTheServerWhileItStillComes() throws Exception {
        start();
        Peer.Line client = client();
        begin(client);
        assertTrue(admin(node, "GET", "/admin/stats").get(1).contains("relayed_total 0\n"));
        Thread rest = new Thread(() -> {
            try {
                value(client, FIRST, LARGE);
                client.write("\r\n");
            } catch (Exception e) {
                told.add("client: " + e);
            }
        });
        rest.start();
        assertArrayEquals(java.util.Arrays.copyOfRange(VALUE, FIRST, LARGE), server.in.readNBytes(LARGE - FIRST));
        assertEquals("", server.line());
        rest.join();
        server.value("done");
        assertEquals(List.of("done"), client.message());
        expect("ended 1 0 OK true");
        assertTrue(admin(node, "GET", "/admin/stats").get(1).contains("relayed_total 1\n"));
        get(client, "02", "read", 900); // both connections are as good as before
        assertEquals("02", server.message().get(2));
        server.value("small");
        assertEquals(List.of("small"), client.message());
    }

    /** What has gone out with the first attempt is not there for a second one; and nothing has run. */
    @Test
    void aValueHalfSentIsNotSentAgain() throws Exception {
        start();
        Peer.Line client = client();
        begin(client);
        server.close();
        expect("ended 1 0 NO_CONNECTION false");
        assertEquals(List.of("-ERR failed"), client.message());
        value(client, FIRST, LARGE);
        client.write("\r\n");
        get(client, "02", "refuse", 900); // the next command is found behind the rest
        assertEquals(List.of("-BUSY 1500"), client.message());
        assertNull(app.poll(100));
    }

    @Test
    void aClientThatLeavesLeavesHalfACommandThatNeverRuns() throws Exception {
        start();
        Peer.Line client = client();
        begin(client);
        client.close();
        expect("gone 1");
        expect("ended 1 0 CANCELLED true");
        assertTrue(server.ended());
    }

    /** Held for quotas or servers: no more than the first part is read meanwhile. */
    @Test
    void aValueThatNoServerTakesIsNotReadOn() throws Exception {
        start();
        Peer.Line client = client();
        head(client, "01", list("hold").replace("5000", "700"), LARGE);
        Thread all = new Thread(() -> {
            try {
                value(client, 0, LARGE);
                client.write("\r\n");
            } catch (Exception e) {
                told.add("client: " + e);
            }
        });
        all.start();
        arrived(1, "hold"); // never sent on: it fails at its deadline, and the rest is dropped
        assertEquals(List.of("-ERR failed"), client.message());
        all.join();
        get(client, "02", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), client.message());
    }

    @Test
    void aValueThatStopsComingIsEnded() throws Exception {
        start();
        Peer.Line before = client();
        head(before, "02", list("write"), LARGE);
        value(before, 0, 1000); // no server looked for yet
        Peer.Line client = client();
        begin(client);
        assertEquals(List.of("-ERR failed"), client.message());
        assertTrue(client.message().get(0).startsWith("-ERR no whole command"));
        assertTrue(client.ended());
        assertTrue(before.message().get(0).startsWith("-ERR no whole command"));
        assertTrue(before.ended());
        assertTrue(server.ended());
    }

    /** The value of a command that is refused at its head is read and dropped. */
    @Test
    void wrongCommandsWithLargeValues() throws Exception {
        start();
        Peer.Line client = client();
        head(client, "01", "c=write,t=p", FIRST);
        value(client, 0, FIRST);
        client.write("\r\n");
        assertTrue(client.message().get(0).startsWith("-ERR c, t and d"));
        client.write("*5\r\n$4\r\nPING\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$" + FIRST + "\r\n");
        value(client, 0, FIRST);
        client.write("\r\n");
        assertEquals(List.of("+PONG"), client.message());
        get(client, "02", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), client.message());
        String four = "$1\r\na\r\n".repeat(4);
        for (String bad : new String[] {
            "*5\r\n$1\r\na\r\n$70000\r\n", "*4\r\n" + four + "$70000\r\n", "*5\r\n" + four + "$4194305\r\n"
        }) {
            Peer.Line other = client();
            other.write(bad);
            String answer = other.message().get(0);
            assertTrue(answer.startsWith("-ERR "), answer);
        }
    }
}
