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

    private static void write(Peer.Line line, byte[] value, int from, int to) throws Exception {
        line.socket.getOutputStream().write(value, from, to - from);
    }

    /** Asks, and lets the server give the first bytes of a large value. */
    private void begin(Peer.Line client, int id, Peer.Line line, byte[] value) throws Exception {
        get(client, "0" + id, "read", 900);
        arrived(id, "read");
        line.message();
        line.write("*3\r\n$" + value.length + "\r\n");
        write(line, value, 0, FIRST);
    }

    @Test
    void aLargeValueReachesTheClientWhileItStillComes() throws Exception {
        start();
        Peer.Line client = client();
        byte[] value = bytes(LARGE);
        begin(client, 1, server, value);
        expect("ended 1 0 OK true"); // by its first bytes: reading it may take far longer than the wait
        assertEquals("$" + LARGE, client.line());
        byte[] got = new byte[LARGE];
        client.in.readNBytes(got, 0, FIRST);
        assertTrue(admin(node, "GET", "/admin/stats").get(1).contains("open_requests 1\n"));
        Thread rest = new Thread(() -> {
            try {
                write(server, value, FIRST, LARGE);
                server.write("\r\n$-1\r\n$9\r\nutil=0.61\r\n");
            } catch (Exception e) {
                told.add("server: " + e);
            }
        });
        rest.start();
        client.in.readNBytes(got, FIRST, LARGE - FIRST);
        rest.join();
        assertArrayEquals(value, got);
        assertEquals("", client.line());
        get(client, "02", "read", 900); // both connections are as good as before
        assertEquals("02", server.message().get(2));
        server.value("small");
        assertEquals(List.of("small"), client.message());
        assertTrue(admin(node, "GET", "/admin/stats").get(1).contains("{priority=\"read\",status=\"fulfilled\"} 2\n"));
    }

    /** What has begun cannot be taken back: an end is all that tells the client it is not whole. */
    @Test
    void aValueThatBreaksOffEndsTheClientsConnection() throws Exception {
        start();
        Peer.Line client = client();
        byte[] value = bytes(LARGE);
        begin(client, 1, server, value);
        assertEquals("$" + LARGE, client.line());
        server.close();
        client.in.readNBytes(FIRST);
        assertTrue(client.ended());
        assertTrue(admin(node, "GET", "/admin/stats").get(1).contains("{priority=\"read\",status=\"faulted\"} 1\n"));
    }

    /** Before its turn nothing of it has gone out: the call fails, and the connection goes on. */
    @Test
    void aValueThatBreaksOffBeforeItsTurnFails() throws Exception {
        start();
        Peer.Line client = client();
        get(client, "01", "read", 5000);
        arrived(1, "read");
        server.message();
        Peer.Line line;
        byte[] value = bytes(LARGE);
        get(client, "02", "read", 5000);
        arrived(2, "read");
        line = app.accept();
        line.message();
        line.write("*3\r\n$" + value.length + "\r\n");
        write(line, value, 0, 1000);
        expect("ended 2 0 OK true");
        line.close();
        while (!admin(node, "GET", "/admin/stats").get(1).contains("{priority=\"read\",status=\"faulted\"} 1\n")) {
            Thread.onSpinWait();
        }
        server.value("one");
        assertEquals(List.of("one"), client.message());
        assertEquals(List.of("-ERR failed"), client.message());
        get(client, "03", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), client.message());
    }

    /** A client that leaves in the middle frees the server's connection, which is of no more use. */
    @Test
    void aClientThatLeavesEndsTheStream() throws Exception {
        start();
        Peer.Line client = client();
        begin(client, 1, server, bytes(LARGE));
        assertEquals("$" + LARGE, client.line());
        client.close();
        assertTrue(server.ended());
        assertTrue(admin(node, "GET", "/admin/stats").get(1).contains("open_requests 0\n"));
    }

    /** Many readers that take nothing: far more than the memory of a node is on its way. */
    @Test
    void clientsThatDoNotReadHoldTheServersBack() throws Exception {
        sockets = 512;
        start();
        byte[] value = bytes(LARGE);
        List<Peer.Line> clients = new ArrayList<>();
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            Peer.Line client = client();
            clients.add(client);
            get(client, "1" + i, "read", 20_000);
            Peer.Line line = i == 0 ? server : app.accept();
            line.message();
            Thread writer = new Thread(() -> {
                try {
                    line.write("*3\r\n$" + LARGE + "\r\n");
                    write(line, value, 0, LARGE);
                    line.write("\r\n$-1\r\n$-1\r\n");
                } catch (Exception e) {
                    told.add("server: " + e);
                }
            });
            writer.start();
            writers.add(writer);
            assertEquals("$" + LARGE, client.line());
        }
        for (Peer.Line client : clients) {
            assertArrayEquals(value, client.in.readNBytes(LARGE));
            assertEquals("", client.line());
        }
        for (Thread writer : writers) {
            writer.join();
        }
    }

    /** It was cut off a quarter of a second after its first byte, though it was still coming. */
    @Test
    void aSmallAnswerInSlowPiecesIsWaitedFor() throws Exception {
        start();
        Peer.Line client = client();
        get(client, "01", "read", 5000);
        arrived(1, "read");
        server.message();
        String answer = "*3\r\n$10\r\n0123456789\r\n$-1\r\n$-1\r\n";
        server.socket.setTcpNoDelay(true);
        for (byte b : answer.getBytes(StandardCharsets.US_ASCII)) {
            server.write(String.valueOf((char) b));
            Thread.sleep(20); // 600 ms in all
        }
        assertEquals(List.of("0123456789"), client.message());
    }

    @Test
    void noValueIsLargerThanTheProtocolAllows() throws Exception {
        start();
        Peer.Line client = client();
        get(client, "01", "read", 5000);
        arrived(1, "read");
        server.message();
        server.write("*3\r\n$" + (LARGE + 1) + "\r\nabc");
        expect("ended 1 0 ERROR false");
        assertEquals(List.of("-ERR failed"), client.message());
        assertTrue(server.ended());
        get(client, "02", "read", 5000);
        arrived(2, "read");
        Peer.Line line = app.accept();
        line.message();
        line.write("*3\r\n$1\r\nv\r\n$70000\r\n"); // nor are the figures and the report
        expect("ended 2 0 ERROR false");
        assertThrows(EOFException.class, line::line);
    }
}
