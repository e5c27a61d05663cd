package quotagateway.client;

import java.util.LinkedHashSet;
import java.util.Set;
import quotagateway.transport.EventLoopContext;

/**
 * What all connections of one listener may read ahead together. A connection whose commands are held back stops
 * reading once this is used up, and is asked to look again a little later. Used on the event loop alone.
 */
final class ReadAheadBudget {
    /** A quarter of what the buffered requests of a node may take, as both come out of the same memory. */
    private static final long MAX_BYTES = 2L << 20;
    /** How often (ms) connections that this budget has stopped look whether it has capacity again. */
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

    /** Counts bytes as read ahead, or, where they are negative, as passed on or dropped. */
    void add(int bytes) {
        usedBytes += bytes;
    }

    /** Has a connection look again whether it may read, after a while. */
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
