package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Requests with values above 64 KiB, which are streamed to an endpoint as they arrive. */
class LargeRequestTest extends NodeFixture {
    private static final int LARGE_BYTES = 4 << 20;
    private static final int FIRST_BYTES = 100_000;
    private static final int CLIENT_TIMEOUT_MS = 1000;
    /** At the mean pace until then, the rest of the value would take over a minute. */
    private static final int EARLY_PAUSE_MS = 250;
    /** How late a response may be (ms): it only earns nothing then. */
    private static final int MAX_LATE_MS = 550;

    private static final byte[] VALUE = new byte[LARGE_BYTES];

    private final BlockingQueue<String> stated = new LinkedBlockingQueue<>();

    static {
        new Random(1).nextBytes(VALUE);
    }

    private static void sendCommandUpToValue(Peer.Connection client, String id, String list, int length)
            throws Exception {
        client.write("*5\r\n$9\r\nCALL.POST\r\n$16\r\n" + CUSTOMER + "\r\n$" + id.length() + "\r\n" + id + "\r\n$"
                + list.length() + "\r\n" + list + "\r\n$" + length + "\r\n");
    }

    private static void sendValueBytes(Peer.Connection client, int from, int to) throws Exception {
        client.socket.getOutputStream().write(VALUE, from, to - from);
    }

    private static String commandList(String requestClass) {
        return "c=" + requestClass + ",t=p,d=5000,k=5c0f,units=2,spread=3,first=1";
    }

    /** Sends the first bytes of a value and reads them at the endpoint before the rest is sent. */
    private void beginLargeRequest(Peer.Connection client) throws Exception {
        sendCommandUpToValue(client, "01", commandList("write"), LARGE_BYTES);
        sendValueBytes(client, 0, FIRST_BYTES);
        expectRequest(1, "write");
        assertEquals("*5", endpointConnection.readLine());
        for (int i = 0; i < 4; i++) {
            endpointConnection.readMessage();
        }
        assertEquals("$" + LARGE_BYTES, endpointConnection.readLine());
        assertArrayEquals(Arrays.copyOf(VALUE, FIRST_BYTES), endpointConnection.input.readNBytes(FIRST_BYTES));
    }

    @Test
    void largeValueIsStreamedToTheEndpoint() throws Exception {
        start();
        Peer.Connection client = connectClient();
        beginLargeRequest(client);
        assertTrue(callAdmin(node, "GET", "/admin/stats").get(1).contains("relayed_total 0\n"));
        Thread rest = new Thread(() -> {
            try {
                sendValueBytes(client, FIRST_BYTES, LARGE_BYTES);
                client.write("\r\n");
            } catch (Exception e) {
                policyEvents.add("client: " + e);
            }
        });
        rest.start();
        assertArrayEquals(
                Arrays.copyOfRange(VALUE, FIRST_BYTES, LARGE_BYTES),
                endpointConnection.input.readNBytes(LARGE_BYTES - FIRST_BYTES));
        assertEquals("", endpointConnection.readLine());
        rest.join();
        endpointConnection.sendValue("done");
        assertEquals(List.of("done"), client.readMessage());
        expectEvent("ended 1 0 OK true");
        assertTrue(callAdmin(node, "GET", "/admin/stats").get(1).contains("relayed_total 1\n"));
        sendGet(client, "02", "read", 900); // both connections are reused
        assertEquals("02", endpointConnection.readMessage().get(2));
        endpointConnection.sendValue("small");
        assertEquals(List.of("small"), client.readMessage());
    }

    /** Bytes sent with the first attempt are not kept for a retry; an incomplete command was not executed. */
    @Test
    void partiallySentValueIsNotResent() throws Exception {
        start();
        Peer.Connection client = connectClient();
        beginLargeRequest(client);
        endpointConnection.close();
        expectEvent("ended 1 0 NO_CONNECTION false");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        sendValueBytes(client, FIRST_BYTES, LARGE_BYTES);
        client.write("\r\n");
        sendGet(client, "02", "refuse", 900); // the next command is read after the rest
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
        assertNull(endpointPeer.pollConnection(100));
    }

    @Test
    void commandOfADisconnectedClientStaysIncomplete() throws Exception {
        start();
        Peer.Connection client = connectClient();
        beginLargeRequest(client);
        client.close();
        expectEvent("gone 1");
        expectEvent("ended 1 0 CANCELLED true");
        assertTrue(endpointConnection.awaitEnd());
    }

    /** While a request waits for quota or an endpoint, only the first part of its value is read. */
    @Test
    void valueIsNotReadFurtherWhileItsRequestWaits() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendCommandUpToValue(client, "01", commandList("hold").replace("5000", "700"), LARGE_BYTES);
        Thread all = new Thread(() -> {
            try {
                sendValueBytes(client, 0, LARGE_BYTES);
                client.write("\r\n");
            } catch (Exception e) {
                policyEvents.add("client: " + e);
            }
        });
        all.start();
        expectRequest(1, "hold"); // fails at its deadline, and the rest of the value is read and discarded
        assertEquals(List.of("-ERR failed"), client.readMessage());
        all.join();
        sendGet(client, "02", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
    }

    @Test
    void stalledValueFailsItsRequest() throws Exception {
        start();
        Peer.Connection earlierClient = connectClient();
        sendCommandUpToValue(earlierClient, "02", commandList("write"), LARGE_BYTES);
        sendValueBytes(earlierClient, 0, 1000); // too few bytes for the request to be accepted
        Peer.Connection client = connectClient();
        beginLargeRequest(client);
        assertEquals(List.of("-ERR failed"), client.readMessage());
        assertTrue(client.readMessage().get(0).startsWith("-ERR no whole command"));
        assertTrue(client.awaitEnd());
        assertTrue(earlierClient.readMessage().get(0).startsWith("-ERR no whole command"));
        assertTrue(earlierClient.awaitEnd());
        assertTrue(endpointConnection.awaitEnd());
    }

    /**
     * Guards against a deadline that an early pause of the client puts off (review/7): the endpoint is told at most
     * the client's timeout, and if it hangs the client has its answer within that time of its last byte.
     */
    @Test
    void earlyPauseDoesNotPutTheDeadlineOff() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendCommandUpToValue(client, "01", commandList("write").replace("5000", "" + CLIENT_TIMEOUT_MS), LARGE_BYTES);
        sendValueBytes(client, 0, 1000);
        Thread.sleep(EARLY_PAUSE_MS);
        Thread endpointReader = new Thread(() -> {
            try {
                stated.add(endpointConnection.readMessage().get(3));
            } catch (Exception e) {
                stated.add(e.toString());
            }
        });
        endpointReader.start();
        sendValueBytes(client, 1000, LARGE_BYTES);
        client.write("\r\n");
        double lastByteNanos = System.nanoTime();
        assertEquals(List.of("-ERR failed"), client.readMessage());
        double answeredAfterMs = (System.nanoTime() - lastByteNanos) / 1e6;
        assertTrue(answeredAfterMs < CLIENT_TIMEOUT_MS + MAX_LATE_MS, answeredAfterMs + " ms");
        endpointReader.join();
        Matcher timeout = Pattern.compile(",d=(\\d+)").matcher(stated.poll());
        assertTrue(timeout.find());
        assertTrue(Integer.parseInt(timeout.group(1)) <= CLIENT_TIMEOUT_MS, timeout.group());
    }

    /**
     * Guards against an attempt that begins after its client was answered (picture d of the review): what an endpoint
     * that reads slowly has not taken of a value by then never reaches it.
     */
    @Test
    void valueOfAnAbandonedAttemptNeverArrivesWhole() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendCommandUpToValue(
                client, "01", commandList("write").replace("5000", "" + CLIENT_TIMEOUT_MS), LARGE_BYTES / 8);
        sendValueBytes(client, 0, LARGE_BYTES / 8);
        client.write("\r\n");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        int received = 0;
        try {
            while (endpointConnection.input.read() >= 0) {
                received++;
            }
        } catch (SocketException reset) {
            // the attempt was given up
        }
        assertTrue(received < LARGE_BYTES / 8, received + " bytes");
    }

    /** The value of a command that is refused before the value has arrived is read and discarded. */
    @Test
    void malformedCommandsWithLargeValuesAreRefused() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendCommandUpToValue(client, "01", "c=write,t=p", FIRST_BYTES);
        sendValueBytes(client, 0, FIRST_BYTES);
        client.write("\r\n");
        assertTrue(client.readMessage().get(0).startsWith("-ERR c, t and d"));
        client.write("*5\r\n$4\r\nPING\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$" + FIRST_BYTES + "\r\n");
        sendValueBytes(client, 0, FIRST_BYTES);
        client.write("\r\n");
        assertEquals(List.of("+PONG"), client.readMessage());
        sendGet(client, "02", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
        String fourArguments = "$1\r\na\r\n".repeat(4);
        for (String malformed : new String[] {
            "*5\r\n$1\r\na\r\n$70000\r\n",
            "*4\r\n" + fourArguments + "$70000\r\n",
            "*5\r\n" + fourArguments + "$4194305\r\n"
        }) {
            Peer.Connection other = connectClient();
            other.write(malformed);
            String answer = other.readMessage().get(0);
            assertTrue(answer.startsWith("-ERR "), answer);
        }
    }
}
