package quotagateway.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against the loss of all direct memory to values that clients write slowly, in pieces of any size. */
class PartialCommandMemoryTest {
    /** The largest buffer that a connection reads into. */
    private static final int READ_BYTES = 16 * 1024;

    private static final int CLIENTS = 20;
    private static final int VALUE_BYTES = 64 * 1024;
    private static final int RANDOM_PIECES = 0;
    private static final String HEAD =
            "*5\r\n$9\r\nCALL.POST\r\n$1\r\nc\r\n$1\r\ni\r\n$1\r\na\r\n$" + VALUE_BYTES + "\r\n";
    private static final byte[] COMMAND = (HEAD + "x".repeat(VALUE_BYTES) + "\r\n").getBytes(StandardCharsets.US_ASCII);

    private final PooledByteBufAllocator pool = new PooledByteBufAllocator(true, 0, 1, 8192, 6, 0, 0, false);
    private final ClientConnectionFixture clients = new ClientConnectionFixture(CLIENTS);
    private final Random random = new Random(7);

    private EmbeddedDuplexChannel connect() {
        EmbeddedDuplexChannel channel = clients.connect();
        channel.config().setAllocator(pool);
        return channel;
    }

    /** Receives a part of a command in a buffer of the size that the connection reads into. */
    private void receive(EmbeddedDuplexChannel channel, byte[] command, int from, int to) {
        ByteBuf buffer = pool.directBuffer(READ_BYTES);
        buffer.writeBytes(command, from, to - from);
        channel.writeInbound(buffer);
        channel.runPendingTasks();
    }

    private int nextPieceBytes(int pieceBytes) {
        return pieceBytes == RANDOM_PIECES ? 1 + random.nextInt(READ_BYTES) : pieceBytes;
    }

    private List<EmbeddedDuplexChannel> receiveAllButTheLastByte(int pieceBytes) {
        List<EmbeddedDuplexChannel> channels = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            channels.add(connect());
            int end = COMMAND.length - 1;
            for (int from = 0; from < end; ) {
                int to = Math.min(end, from + nextPieceBytes(pieceBytes));
                receive(channels.get(i), COMMAND, from, to);
                from = to;
            }
        }
        return channels;
    }

    @ParameterizedTest
    @ValueSource(ints = {16, 400, 1024, READ_BYTES, RANDOM_PIECES})
    void valueInPiecesHoldsNoMoreThanTwiceItsSize(int pieceBytes) {
        List<EmbeddedDuplexChannel> channels = receiveAllButTheLastByte(pieceBytes);
        long heldBytes = pool.pinnedDirectMemory();
        assertTrue(heldBytes <= 2L * CLIENTS * COMMAND.length, "bytes held: " + heldBytes);
        for (EmbeddedDuplexChannel channel : channels) {
            receive(channel, COMMAND, COMMAND.length - 1, COMMAND.length);
        }
        assertEquals(CLIENTS, clients.requests.size());
        channels.forEach(EmbeddedDuplexChannel::finishAndReleaseAll);
        assertEquals(0, pool.pinnedDirectMemory());
    }

    @Test
    void connectionThatEndsInTheMiddleOfAValueGivesAllMemoryBack() {
        for (EmbeddedDuplexChannel channel : receiveAllButTheLastByte(RANDOM_PIECES)) {
            channel.close();
            channel.runPendingTasks();
        }
        assertEquals(0, pool.pinnedDirectMemory());
    }
}
