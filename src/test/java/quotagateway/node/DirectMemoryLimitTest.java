package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that answers nobody once slowly written values have used up its direct memory. */
class DirectMemoryLimitTest extends NodeProcessFixture {
    private static final int MAX_DIRECT_MB = 8;
    private static final int VALUE_BYTES = 64 * 1024;
    private static final int PIECE_BYTES = 700;
    private static final int DESCRIPTOR_LIMIT = 1024;
    /** Values of twice the memory that there is. */
    private static final int CLIENTS = (MAX_DIRECT_MB << 20) / VALUE_BYTES * 2;

    private static final String ATTRIBUTES = "c=write,t=p,d=5000,k=1,units=1,spread=1,first=0";

    private int controlPort;

    DirectMemoryLimitTest() throws IOException {}

    private void startNode() throws Exception {
        try (ServerSocket freePortSocket = new ServerSocket(0)) {
            controlPort = freePortSocket.getLocalPort();
        }
        controlAddress = "127.0.0.1:" + controlPort;
        startNode(
                DESCRIPTOR_LIMIT,
                DESCRIPTOR_LIMIT,
                "-XX:MaxDirectMemorySize=" + MAX_DIRECT_MB + "m",
                "-Dio.netty.allocator.type=pooled",
                "-Dio.netty.allocator.numDirectArenas=1",
                "-Dio.netty.allocator.maxOrder=6");
        respondOnAll(endpoint, new CountDownLatch(1));
        answerWatch(discovery.awaitConnection(), "");
        awaitBind();
    }

    private static String command(String id) {
        return "*5\r\n$9\r\nCALL.POST\r\n$16\r\n" + NodeFixture.CUSTOMER + "\r\n$" + id.length() + "\r\n" + id + "\r\n$"
                + ATTRIBUTES.length() + "\r\n" + ATTRIBUTES + "\r\n$" + VALUE_BYTES + "\r\n" + "x".repeat(VALUE_BYTES)
                + "\r\n";
    }

    private long gauge(String name) throws IOException {
        try (Peer.Connection operator = Peer.Connection.connect(controlPort)) {
            operator.write("GET /admin/stats HTTP/1.1\r\nHost: edge\r\n\r\n");
            String metrics = NodeFixture.readHttpResponse(operator).get(1);
            return metrics.lines()
                    .filter(line -> line.startsWith("edge_edge_" + name + " "))
                    .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(' ') + 1)))
                    .findFirst()
                    .orElse(0);
        }
    }

    private static void ping(Peer.Connection client) throws IOException {
        client.sendCommand("PING");
        assertEquals(List.of("+PONG"), client.readMessage());
    }

    /** Each piece has been read before the next is written, as another client has been answered in between. */
    @Test
    void slowlyWrittenValuesLeaveMemoryForOtherClients() throws Exception {
        startNode();
        try {
            Peer.Connection other = connectClient();
            List<Peer.Connection> writers = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                writers.add(connectClient());
            }
            int length = command("100").length();
            for (int from = 0; from < length; from += PIECE_BYTES) {
                int to = Math.min(length, from + PIECE_BYTES);
                for (int i = 0; i < CLIENTS; i++) {
                    writers.get(i).write(command("" + (100 + i)).substring(from, to));
                }
                ping(other);
            }
            List<String> answers = new ArrayList<>();
            for (Peer.Connection writer : writers) {
                answers.add(writer.readMessage().get(0));
            }
            long refused = gauge("refusals_total{reason=\"memory_short\"}");
            assertTrue(refused > 0 && refused < CLIENTS, "requests refused for want of memory: " + refused);
            assertEquals(CLIENTS, answers.size());
            while (gauge("direct_memory_in_use_bytes") >= VALUE_BYTES) {
                ping(other); // what has been answered is given back in a later round of the event loop
            }
            assertFalse(Files.readString(log).contains("OutOfMemory"));
        } catch (IOException | AssertionError e) {
            throw new AssertionError(Files.readString(log), e);
        }
    }
}
