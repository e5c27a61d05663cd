package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Values above 64 KiB, which are passed on as they come, and answers that come slowly. */
class LargeResponseTest extends NodeFixture {
    private static final int LARGE = 4 << 20;
    private static final int FIRST = 100_000;

    private static byte[] bytes(int length) {
        byte[] value = new byte[length];
        new Random(length).nextBytes(value);
        return value;
    }

    private static void write(Peer.Connection line, byte[] value, int from, int to) throws Exception {
        line.socket.getOutputStream().write(value, from, to - from);
    }

    /** Asks, and lets the server give the first bytes of a large value. */
    private void begin(Peer.Connection client, int id, Peer.Connection line, byte[] value) throws Exception {
        sendGet(client, "0" + id, "read", 900);
        expectRequest(id, "read");
        line.readMessage();
        line.write("*3\r\n$" + value.length + "\r\n");
        write(line, value, 0, FIRST);
    }

    @Test
    void largeValueReachesTheClientWhileItStillComes() throws Exception {
        start();
        Peer.Connection client = connectClient();
        byte[] value = bytes(LARGE);
        begin(client, 1, endpointConnection, value);
        expectEvent("ended 1 0 OK true"); // by its first bytes: reading it may take far longer than the wait
        assertEquals("$" + LARGE, client.readLine());
        byte[] got = new byte[LARGE];
        client.input.readNBytes(got, 0, FIRST);
        assertTrue(callAdmin(node, "GET", "/admin/stats").get(1).contains("open_requests 1\n"));
        Thread rest = new Thread(() -> {
            try {
                write(endpointConnection, value, FIRST, LARGE);
                endpointConnection.write("\r\n$-1\r\n$9\r\nutil=0.61\r\n");
            } catch (Exception e) {
                policyEvents.add("server: " + e);
            }
        });
        rest.start();
        client.input.readNBytes(got, FIRST, LARGE - FIRST);
        rest.join();
        assertArrayEquals(value, got);
        assertEquals("", client.readLine());
        sendGet(client, "02", "read", 900); // both connections are as good as before
        assertEquals("02", endpointConnection.readMessage().get(2));
        endpointConnection.sendValue("small");
        assertEquals(List.of("small"), client.readMessage());
        assertTrue(
                callAdmin(node, "GET", "/admin/stats").get(1).contains("{priority=\"read\",status=\"fulfilled\"} 2\n"));
    }

    /** What has begun cannot be taken back: an end is all that tells the client it is not whole. */
    @Test
    void valueThatBreaksOffClosesTheClientsConnection() throws Exception {
        start();
        Peer.Connection client = connectClient();
        byte[] value = bytes(LARGE);
        begin(client, 1, endpointConnection, value);
        assertEquals("$" + LARGE, client.readLine());
        endpointConnection.close();
        client.input.readNBytes(FIRST);
        assertTrue(client.awaitEnd());
        assertTrue(
                callAdmin(node, "GET", "/admin/stats").get(1).contains("{priority=\"read\",status=\"faulted\"} 1\n"));
    }

    /** Before its turn nothing of it has gone out: the call fails, and the connection goes on. */
    @Test
    void valueThatBreaksOffBeforeItsTurnFailsItsRequest() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 5000);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        Peer.Connection line;
        byte[] value = bytes(LARGE);
        sendGet(client, "02", "read", 5000);
        expectRequest(2, "read");
        line = endpointPeer.awaitConnection();
        line.readMessage();
        line.write("*3\r\n$" + value.length + "\r\n");
        write(line, value, 0, 1000);
        expectEvent("ended 2 0 OK true");
        line.close();
        while (!callAdmin(node, "GET", "/admin/stats").get(1).contains("{priority=\"read\",status=\"faulted\"} 1\n")) {
            Thread.onSpinWait();
        }
        endpointConnection.sendValue("one");
        assertEquals(List.of("one"), client.readMessage());
        assertEquals(List.of("-ERR failed"), client.readMessage());
        sendGet(client, "03", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
    }

    /** A client that leaves in the middle frees the server's connection, which is of no more use. */
    @Test
    void disconnectedClientEndsTheStream() throws Exception {
        start();
        Peer.Connection client = connectClient();
        begin(client, 1, endpointConnection, bytes(LARGE));
        assertEquals("$" + LARGE, client.readLine());
        client.close();
        assertTrue(endpointConnection.awaitEnd());
        assertTrue(callAdmin(node, "GET", "/admin/stats").get(1).contains("open_requests 0\n"));
    }

    /** Many readers that take nothing: far more than the memory of a node is on its way. */
    @Test
    void clientsThatDoNotReadHoldEndpointsBack() throws Exception {
        maxSockets = 512;
        start();
        byte[] value = bytes(LARGE);
        List<Peer.Connection> clients = new ArrayList<>();
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            Peer.Connection client = connectClient();
            clients.add(client);
            sendGet(client, "1" + i, "read", 20_000);
            Peer.Connection line = i == 0 ? endpointConnection : endpointPeer.awaitConnection();
            line.readMessage();
            Thread writer = new Thread(() -> {
                try {
                    line.write("*3\r\n$" + LARGE + "\r\n");
                    write(line, value, 0, LARGE);
                    line.write("\r\n$-1\r\n$-1\r\n");
                } catch (Exception e) {
                    policyEvents.add("server: " + e);
                }
            });
            writer.start();
            writers.add(writer);
            assertEquals("$" + LARGE, client.readLine());
        }
        for (Peer.Connection client : clients) {
            assertArrayEquals(value, client.input.readNBytes(LARGE));
            assertEquals("", client.readLine());
        }
        for (Thread writer : writers) {
            writer.join();
        }
    }

    /** It was cut off a quarter of a second after its first byte, though it was still coming. */
    @Test
    void smallResponseInSlowPiecesIsWaitedFor() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 5000);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        String answer = "*3\r\n$10\r\n0123456789\r\n$-1\r\n$-1\r\n";
        endpointConnection.socket.setTcpNoDelay(true);
        for (byte b : answer.getBytes(StandardCharsets.US_ASCII)) {
            endpointConnection.write(String.valueOf((char) b));
            Thread.sleep(20); // 600 ms in all
        }
        assertEquals(List.of("0123456789"), client.readMessage());
    }

    @Test
    void responseLargerThanTheProtocolAllowsIsAnError() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 5000);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        endpointConnection.write("*3\r\n$" + (LARGE + 1) + "\r\nabc");
        expectEvent("ended 1 0 ERROR false");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        assertTrue(endpointConnection.awaitEnd());
        sendGet(client, "02", "read", 5000);
        expectRequest(2, "read");
        Peer.Connection line = endpointPeer.awaitConnection();
        line.readMessage();
        line.write("*3\r\n$1\r\nv\r\n$70000\r\n"); // nor are the figures and the report
        expectEvent("ended 2 0 ERROR false");
        assertThrows(EOFException.class, line::readLine);
    }
}
