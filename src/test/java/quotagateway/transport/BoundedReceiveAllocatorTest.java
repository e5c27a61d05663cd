package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator.ExtendedHandle;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** How much a connection reads at a time. */
class BoundedReceiveAllocatorTest {
    private boolean memoryShort;
    private final ExtendedHandle handle;

    BoundedReceiveAllocatorTest() {
        BoundedReceiveAllocator allocator = new BoundedReceiveAllocator(() -> memoryShort);
        allocator.maxMessagesPerRead(16);
        handle = allocator.newHandle();
    }

    private int read() {
        ByteBuf buffer = handle.allocate(UnpooledByteBufAllocator.DEFAULT);
        try {
            handle.attemptedBytesRead(buffer.writableBytes());
            handle.lastBytesRead(buffer.writableBytes());
            handle.incMessagesRead(1);
            return buffer.capacity();
        } finally {
            buffer.release();
        }
    }

    @Test
    void connectionReadsOneSmallBufferARoundWhileMemoryIsShort() {
        handle.reset(new EmbeddedChannel().config());
        int usualBytes = read();
        assertTrue(handle.continueReading());
        memoryShort = true;
        int bytes = read();
        assertTrue(bytes < usualBytes, bytes + " of " + usualBytes);
        assertFalse(handle.continueReading());
        memoryShort = false;
        handle.reset(new EmbeddedChannel().config());
        assertTrue(read() >= usualBytes);
        assertTrue(handle.continueReading());
    }

    @Test
    void largestReadIsBounded() {
        int last = 0;
        for (int i = 0; i < 20; i++) {
            last = read();
        }
        assertEquals(16 * 1024, last);
    }
}
