package quotagateway.upstream;

/**
 * When a connection to an endpoint was used, and what came of using it. A connection rests for a moment behind each
 * reply, stands idle until it is used again, and is given up once it has been idle for too long.
 */
final class ConnectionUsage {
    /**
     * How long (ms) a connection is left alone behind a reply: what belongs to no request, as a second copy of the
     * reply, comes right behind it, and would be taken for the reply to the next request.
     */
    static final double REST_MS = 2;

    private final IdleTimeoutEstimator idleTimeout;
    private double lastUsedMs;
    private boolean usedBefore;
    private double idleBeforeUseMs;

    ConnectionUsage(IdleTimeoutEstimator idleTimeout) {
        this.idleTimeout = idleTimeout;
    }

    /** The connection has become idle. */
    void onIdle(double now) {
        lastUsedMs = now;
    }

    /** Needs no rest: nothing was replied on the connection yet. */
    void skipRest() {
        lastUsedMs -= REST_MS;
    }

    /** A request is about to be written. */
    void onUse(double now) {
        idleBeforeUseMs = now - lastUsedMs;
    }

    /** The endpoint has replied to the last use. */
    void recordReply() {
        record(false);
    }

    /** The connection was reset before anything of a reply came, as endpoints do with one idle for too long. */
    void recordReset() {
        record(true);
    }

    private void record(boolean reset) {
        if (usedBefore) {
            idleTimeout.recordReuse(idleBeforeUseMs, reset);
        } else {
            idleTimeout.recordFirstUse(reset);
        }
        usedBefore = true;
    }

    /** Whether the endpoint will likely have given the connection up by now. */
    boolean isExpired(double now) {
        return usedBefore && !idleTimeout.allows(now - lastUsedMs);
    }

    boolean hasRested(double now) {
        return now - lastUsedMs >= REST_MS;
    }

    /** Whether the connection, being idle, has been so since before a time (ms) of the loop's clock. */
    boolean isIdleSinceBefore(double timeMs) {
        return lastUsedMs < timeMs;
    }
}
