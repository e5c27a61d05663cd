package quotagateway.node;

/**
 * The memory that the values of all requests take together. While the budget is exhausted, the node stops reading from
 * clients, so that the kernel, and then the clients themselves, hold the data that is still to be sent.
 */
final class MemoryBudget {
    /** How much the values of all requests may take (bytes) before the node stops reading from clients. */
    private static final long MAX_BUFFERED_BYTES = 8L << 20;

    private long bufferedBytes;
    private Runnable onAvailable = () -> {};

    /** Sets the action that runs each time the budget stops being exhausted. */
    void onAvailable(Runnable action) {
        onAvailable = action;
    }

    boolean isExhausted() {
        return bufferedBytes > MAX_BUFFERED_BYTES;
    }

    /** Reserves the memory of a request. A reservation always succeeds, as the bytes have been read already. */
    void reserve(int bytes) {
        bufferedBytes += bytes;
    }

    /** Returns the memory of a request that has released its buffers. */
    void release(int bytes) {
        boolean wasExhausted = isExhausted();
        bufferedBytes -= bytes;
        if (wasExhausted && !isExhausted()) {
            onAvailable.run();
        }
    }
}
