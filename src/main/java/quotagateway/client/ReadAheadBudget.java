package quotagateway.client;

import java.util.LinkedHashSet;
import java.util.Set;
import quotagateway.transport.EventLoopContext;

/**
 * Budget of bytes that all connections of one listener may read ahead. Once it is used up, a connection whose commands
 * are held back stops reading and checks again periodically. Used only on the event loop.
 */
final class ReadAheadBudget {
    /** A quarter of the limit for a node's buffered requests, as both use the same memory. */
    private static final long MAX_BYTES = 2L << 20;
    /** Interval (ms) at which paused connections check whether the budget has capacity again. */
    private static final double RETRY_INTERVAL_MS = 50;

    private final EventLoopContext loop;
    private final Set<ReadAhead> waiting = new LinkedHashSet<>();
    private long usedBytes;
    private boolean retryScheduled;

    ReadAheadBudget(EventLoopContext loop) {
        this.loop = loop;
    }

    boolean hasCapacity() {
        return usedBytes < MAX_BYTES;
    }

    /** Counts bytes as read ahead, or, if the number is negative, as forwarded or dropped. */
    void add(int bytes) {
        usedBytes += bytes;
    }

    /** Makes a connection check again after the retry interval whether it may read. */
    void awaitCapacity(ReadAhead connection) {
        waiting.add(connection);
        if (!retryScheduled) {
            retryScheduled = true;
            loop.schedule(RETRY_INTERVAL_MS, this::retry);
        }
    }

    private void retry() {
        retryScheduled = false;
        ReadAhead[] connections = waiting.toArray(new ReadAhead[0]);
        waiting.clear();
        for (ReadAhead connection : connections) {
            connection.updateAutoRead();
        }
    }
}
