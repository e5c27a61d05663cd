package quotagateway.transport;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.util.internal.PlatformDependent;
import java.util.function.LongSupplier;

/**
 * The direct memory of the buffers of all connections of a process, which come from one pool. What buffers hold is
 * counted by the pool itself, so that it includes whatever a small part of a message keeps from being released.
 *
 * <p>Requests may fill half of the limit and responses three quarters, so that requests that wait for a response always
 * leave room for it. The last quarter is for reads, for parts of messages too short to be limited, and for the pool's
 * own fragmentation. All methods except {@link #setProcessCount} are called on the event loop.
 */
public final class DirectMemory {
    private static final int ARENAS = 1;
    private static final int PAGE_BYTES = 8192;
    /** Number of times that a page is doubled to make a chunk, which is what the pool reserves at a time: 512 KiB. */
    private static final int CHUNK_ORDER = 6;
    /** Buffers of each small size that are kept for reuse and count as reserved, but not as in use. */
    private static final int CACHED_SMALL_BUFFERS = 16;

    private static final int CACHED_NORMAL_BUFFERS = 0;
    /** The pool is used by one thread, the event loop. */
    private static final PooledByteBufAllocator POOL = new PooledByteBufAllocator(
            true, ARENAS, ARENAS, PAGE_BYTES, CHUNK_ORDER, CACHED_SMALL_BUFFERS, CACHED_NORMAL_BUFFERS, false);

    private static final double REQUEST_SHARE = 0.5;
    private static final double RESPONSE_SHARE = 0.75;
    /** Share up to which a large response is gathered if other responses on its connection depend on it. */
    private static final double GATHER_SHARE = 0.25;
    /** The same, if none does yet: less, as this is the usual case. */
    private static final double GATHER_ALONE_SHARE = 0.125;
    /** One byte in this many of the configured limit is for direct memory; the rest is heap, code and stacks. */
    private static final int CONFIGURED_BYTES_PER_DIRECT_BYTE = 6;

    private final LongSupplier inUseBytes;
    private final LongSupplier reservedBytes;
    private final long processLimitBytes;
    /** Number of processes that share the configured limit; also set by the thread that starts the node. */
    private volatile int processCount = 1;

    /**
     * Creates the memory of a process.
     *
     * @param inUseBytes what live buffers hold
     * @param reservedBytes what the pool has reserved
     * @param limitBytes the most that the pool may reserve
     */
    public DirectMemory(LongSupplier inUseBytes, LongSupplier reservedBytes, long limitBytes) {
        this.inUseBytes = inUseBytes;
        this.reservedBytes = reservedBytes;
        processLimitBytes = limitBytes;
    }

    /**
     * Returns the memory of this process's pool, within the JVM's own limit of direct memory.
     *
     * @param configuredBytes the limit on all memory of the gateway
     */
    public static DirectMemory ofProcess(long configuredBytes) {
        long limitBytes =
                Math.min(PlatformDependent.maxDirectMemory(), configuredBytes / CONFIGURED_BYTES_PER_DIRECT_BYTE);
        return new DirectMemory(POOL::pinnedDirectMemory, () -> POOL.metric().usedDirectMemory(), limitBytes);
    }

    /** The pool that the buffers of all connections come from. */
    public static ByteBufAllocator allocator() {
        return POOL;
    }

    /** Divides the limit among processes, as an old and a new version of a gateway share the configured one. */
    public void setProcessCount(int count) {
        processCount = count;
    }

    /** Returns the most (bytes) that this process may reserve. */
    public long limitBytes() {
        return processLimitBytes / processCount;
    }

    /** Returns what the pool has reserved (bytes), including what no buffer holds at present. */
    public long reservedBytes() {
        return reservedBytes.getAsLong();
    }

    /** Returns what live buffers hold (bytes). */
    public long inUseBytes() {
        return inUseBytes.getAsLong();
    }

    /** Returns whether so many more bytes of a request may be held. */
    public boolean hasRoomForRequest(int bytes) {
        return hasRoom(bytes, REQUEST_SHARE);
    }

    /** Returns whether so many more bytes of a response may be held. */
    public boolean hasRoomForResponse(int bytes) {
        return hasRoom(bytes, RESPONSE_SHARE);
    }

    /** Returns whether more of a large response may be gathered, with other responses depending on it or alone. */
    public boolean hasRoomToGather(boolean othersDependOnIt) {
        return hasRoom(0, othersDependOnIt ? GATHER_SHARE : GATHER_ALONE_SHARE);
    }

    private boolean hasRoom(int bytes, double share) {
        return inUseBytes() + bytes <= limitBytes() * share;
    }
}
