package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Values above 64 KiB, which are streamed to the client as they arrive, and responses that arrive slowly. */
class LargeResponseTest extends NodeFixture {
    private static final int LARGE_BYTES = 4 << 20;
    private static final int FIRST_BYTES = 100_000;

    private static byte[] randomBytes(int length) {
        byte[] value = new byte[length];
        new Random(length).nextBytes(value);
        return value;
    }

    private static void writeBytes(Peer.Connection connection, byte[] value, int from, int to) throws Exception {
        connection.socket.getOutputStream().write(value, from, to - from);
    }

    /** Sends a request, and the first bytes of a large value in the response. */
    private void beginLargeResponse(Peer.Connection client, int id, Peer.Connection connection, byte[] value)
            throws Exception {
        sendGet(client, "0" + id, "read", 900);
        expectRequest(id, "read");
        connection.readMessage();
        connection.write("*3\r\n$" + value.length + "\r\n");
        writeBytes(connection, value, 0, FIRST_BYTES);
    }

    @Test
    void largeValueIsStreamedToTheClient() throws Exception {
        start();
        Peer.Connection client = connectClient();
        byte[] value = randomBytes(LARGE_BYTES);
        beginLargeResponse(client, 1, endpointConnection, value);
        expectEvent("ended 1 0 OK true"); // at the first bytes: the rest may take longer than the client's timeout
        assertEquals("$" + LARGE_BYTES, client.readLine());
        byte[] received = new byte[LARGE_BYTES];
        client.input.readNBytes(received, 0, FIRST_BYTES);
        assertTrue(callAdmin(node, "GET", "/admin/stats").get(1).contains("open_requests 1\n"));
        Thread rest = new Thread(() -> {
            try {
                writeBytes(endpointConnection, value, FIRST_BYTES, LARGE_BYTES);
                endpointConnection.write("\r\n$-1\r\n$9\r\nutil=0.61\r\n");
            } catch (Exception e) {
                policyEvents.add("server: " + e);
            }
        });
        rest.start();
        client.input.readNBytes(received, FIRST_BYTES, LARGE_BYTES - FIRST_BYTES);
        rest.join();
        assertArrayEquals(value, received);
        assertEquals("", client.readLine());
        sendGet(client, "02", "read", 900); // both connections are reused
        assertEquals("02", endpointConnection.readMessage().get(2));
        endpointConnection.sendValue("small");
        assertEquals(List.of("small"), client.readMessage());
        assertTrue(
                callAdmin(node, "GET", "/admin/stats").get(1).contains("{priority=\"read\",status=\"fulfilled\"} 2\n"));
    }

    /** A response that has begun cannot be withdrawn: only a close tells the client that it is incomplete. */
    @Test
    void truncatedValueClosesTheClientConnection() throws Exception {
        start();
        Peer.Connection client = connectClient();
        byte[] value = randomBytes(LARGE_BYTES);
        beginLargeResponse(client, 1, endpointConnection, value);
        assertEquals("$" + LARGE_BYTES, client.readLine());
        endpointConnection.close();
        client.input.readNBytes(FIRST_BYTES);
        assertTrue(client.awaitEnd());
        assertTrue(
                callAdmin(node, "GET", "/admin/stats").get(1).contains("{priority=\"read\",status=\"faulted\"} 1\n"));
    }

    /**
     * Guards against responses that are lost behind a value that breaks off (review/9): whether their requests came
     * before or after it began to arrive, all of them are answered, and the connection stays open.
     */
    @Test
    void valueThatBreaksOffCostsNoResponseBehindIt() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 5000);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        sendGet(client, "02", "read", 5000);
        Peer.Connection second = endpointPeer.awaitConnection();
        second.readMessage();
        second.sendValue("two");
        expectRequest(2, "read");
        expectEvent("ended 2 0 OK true");
        byte[] value = randomBytes(LARGE_BYTES);
        endpointConnection.write("*3\r\n$" + value.length + "\r\n");
        writeBytes(endpointConnection, value, 0, FIRST_BYTES);
        expectEvent("ended 1 0 OK true");
        sendGet(client, "03", "refuse", 5000);
        expectRequest(3, "refuse");
        endpointConnection.close();
        assertEquals(List.of("-ERR failed"), client.readMessage());
        assertEquals(List.of("two"), client.readMessage());
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
        client.sendCommand("PING");
        assertEquals(List.of("+PONG"), client.readMessage());
    }

    /** Guards against executing a command whose response could be lost: none is accepted while a value is written. */
    @Test
    void commandsBehindAValueThatIsWrittenAreHeldBackUntilItIsComplete() throws Exception {
        start();
        Peer.Connection client = connectClient();
        byte[] value = randomBytes(LARGE_BYTES);
        beginLargeResponse(client, 1, endpointConnection, value);
        expectEvent("ended 1 0 OK true");
        assertEquals("$" + LARGE_BYTES, client.readLine());
        sendGet(client, "02", "refuse", 5000);
        Peer.Connection other = connectClient();
        sendGet(other, "03", "refuse", 5000); // accepted after the other one has arrived
        assertEquals(List.of("-BUSY 1500"), other.readMessage());
        expectRequest(2, "refuse");
        assertNull(policyEvents.poll());
        Thread rest = new Thread(() -> {
            try {
                writeBytes(endpointConnection, value, FIRST_BYTES, LARGE_BYTES);
                endpointConnection.write("\r\n$-1\r\n$-1\r\n");
            } catch (Exception e) {
                policyEvents.add("server: " + e);
            }
        });
        rest.start();
        assertArrayEquals(value, client.input.readNBytes(LARGE_BYTES));
        assertEquals("", client.readLine());
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
        rest.join();
    }

    /** While earlier responses are outstanding no byte has been sent: the request fails, the connection stays open. */
    @Test
    void valueTruncatedBeforeItsTurnFailsItsRequest() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 5000);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        Peer.Connection connection;
        byte[] value = randomBytes(LARGE_BYTES);
        sendGet(client, "02", "read", 5000);
        expectRequest(2, "read");
        connection = endpointPeer.awaitConnection();
        connection.readMessage();
        connection.write("*3\r\n$" + value.length + "\r\n");
        writeBytes(connection, value, 0, 1000);
        expectEvent("ended 2 0 OK true");
        connection.close(); // seen at once, or where the connection is not read, when it is the response's turn
        endpointConnection.sendValue("one");
        assertEquals(List.of("one"), client.readMessage());
        assertEquals(List.of("-ERR failed"), client.readMessage());
        assertTrue(
                callAdmin(node, "GET", "/admin/stats").get(1).contains("{priority=\"read\",status=\"faulted\"} 1\n"));
        sendGet(client, "03", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
    }

    /** The endpoint's connection is closed too, because the rest of the value would still arrive on it. */
    @Test
    void disconnectedClientEndsTheStream() throws Exception {
        start();
        Peer.Connection client = connectClient();
        beginLargeResponse(client, 1, endpointConnection, randomBytes(LARGE_BYTES));
        assertEquals("$" + LARGE_BYTES, client.readLine());
        client.close();
        assertTrue(endpointConnection.awaitEnd());
        assertTrue(callAdmin(node, "GET", "/admin/stats").get(1).contains("open_requests 0\n"));
    }

    /** Together the values that the clients do not read are far larger than the node's memory. */
    @Test
    void clientsThatDoNotReadApplyBackpressureToEndpoints() throws Exception {
        maxSockets = 512;
        memoryMb = 96; // with more, one of these values fits into the memory for gathering, and frees its connection
        start();
        byte[] value = randomBytes(LARGE_BYTES);
        List<Peer.Connection> clients = new ArrayList<>();
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            Peer.Connection client = connectClient();
            clients.add(client);
            sendGet(client, "1" + i, "read", 20_000);
            Peer.Connection connection = i == 0 ? endpointConnection : endpointPeer.awaitConnection();
            connection.readMessage();
            Thread writer = new Thread(() -> {
                try {
                    connection.write("*3\r\n$" + LARGE_BYTES + "\r\n");
                    writeBytes(connection, value, 0, LARGE_BYTES);
                    connection.write("\r\n$-1\r\n$-1\r\n");
                } catch (Exception e) {
                    policyEvents.add("server: " + e);
                }
            });
            writer.start();
            writers.add(writer);
            assertEquals("$" + LARGE_BYTES, client.readLine());
        }
        for (Peer.Connection client : clients) {
            assertArrayEquals(value, client.input.readNBytes(LARGE_BYTES));
            assertEquals("", client.readLine());
        }
        for (Thread writer : writers) {
            writer.join();
        }
    }

    /** A response whose bytes keep arriving does not count as incomplete, however long it takes. */
    @Test
    void slowSmallResponseIsAwaited() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 5000);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        String answer = "*3\r\n$10\r\n0123456789\r\n$-1\r\n$-1\r\n";
        endpointConnection.socket.setTcpNoDelay(true);
        for (byte b : answer.getBytes(StandardCharsets.US_ASCII)) {
            endpointConnection.write(String.valueOf((char) b));
            Thread.sleep(20); // 600 ms in total
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
        endpointConnection.write("*3\r\n$" + (LARGE_BYTES + 1) + "\r\nabc");
        expectEvent("ended 1 0 ERROR false");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        assertTrue(endpointConnection.awaitEnd());
        sendGet(client, "02", "read", 5000);
        expectRequest(2, "read");
        Peer.Connection connection = endpointPeer.awaitConnection();
        connection.readMessage();
        connection.write("*3\r\n$1\r\nv\r\n$70000\r\n"); // actual units and load report may not be large either
        expectEvent("ended 2 0 ERROR false");
        assertThrows(EOFException.class, connection::readLine);
    }
}
