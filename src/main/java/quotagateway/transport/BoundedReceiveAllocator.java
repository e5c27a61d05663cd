package quotagateway.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.UncheckedBooleanSupplier;
import java.util.function.BooleanSupplier;

/**
 * Allocates the buffers that connections read into, by the size of their last reads. While memory is short, each
 * connection reads one small buffer a round: all of them may be readable in the same round.
 */
public final class BoundedReceiveAllocator extends AdaptiveRecvByteBufAllocator {
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 16 * 1024;
    private static final int READ_BYTES_WHILE_SHORT = 512;

    private final BooleanSupplier memoryShort;

    /** Creates an allocator for the connections of one event loop. */
    public BoundedReceiveAllocator(BooleanSupplier memoryShort) {
        super(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
        this.memoryShort = memoryShort;
    }

    @Override
    public ExtendedHandle newHandle() {
        return new BoundedHandle((ExtendedHandle) super.newHandle());
    }

    private final class BoundedHandle extends RecvByteBufAllocator.DelegatingHandle implements ExtendedHandle {
        private final ExtendedHandle handle;
        private boolean readsLess;

        BoundedHandle(ExtendedHandle handle) {
            super(handle);
            this.handle = handle;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator alloc) {
            int usualBytes = handle.guess();
            readsLess = usualBytes > READ_BYTES_WHILE_SHORT && memoryShort.getAsBoolean();
            return alloc.ioBuffer(readsLess ? READ_BYTES_WHILE_SHORT : usualBytes);
        }

        @Override
        public boolean continueReading() {
            return !readsLess && handle.continueReading();
        }

        @Override
        public boolean continueReading(UncheckedBooleanSupplier maybeMoreData) {
            return !readsLess && handle.continueReading(maybeMoreData);
        }
    }
}
