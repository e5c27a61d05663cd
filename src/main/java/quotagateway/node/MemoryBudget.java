package quotagateway.node;

/**
 * How much memory the values of all requests take together. While it is exhausted clients are read no further, so
 * that the kernel and then the clients themselves hold what they have still to send.
 */
final class MemoryBudget {
    /** What the values of all requests may take (bytes) before clients are read no further. */
    private static final long MAX_BUFFERED_BYTES = 8L << 20;

    private long bufferedBytes;
    private Runnable onAvailable = () -> {};

    /** Sets what is run each time that the budget is no longer exhausted. */
    void onAvailable(Runnable action) {
        onAvailable = action;
    }

    boolean isExhausted() {
        return bufferedBytes > MAX_BUFFERED_BYTES;
    }

    /** A request takes so much; it is always granted, as it has been read by then. */
    void reserve(int bytes) {
        bufferedBytes += bytes;
    }

    /** A request has given its buffers back. */
    void release(int bytes) {
        boolean wasExhausted = isExhausted();
        bufferedBytes -= bytes;
        if (wasExhausted && !isExhausted()) {
            onAvailable.run();
        }
    }
}
