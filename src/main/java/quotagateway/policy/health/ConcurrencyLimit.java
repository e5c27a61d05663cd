package quotagateway.policy.health;

/**
 * Limits how many attempts of this gateway may be in flight at one endpoint: additive increase while the limit is
 * reached and responses are fast, multiplicative decrease when they are slow, as in TCP's congestion window. A limit
 * below 1 requires a pause between attempts, because even one attempt from every gateway may be too much for an
 * endpoint.
 */
public final class ConcurrencyLimit {
    /** About two attempts for each core of a small machine. */
    private static final double INITIAL_LIMIT = 4;
    /**
     * Lowest limit. It allows one attempt every eight half objectives, which still detects soon that an endpoint has
     * recovered.
     */
    private static final double MIN_LIMIT = 1.0 / 8;
    /** A slow response lowers the limit by a tenth, because some requests take long by nature. */
    private static final double DECREASE_FACTOR = 0.9;
    /**
     * A response is slow beyond this fraction of its objective; the rest is reserved for queueing at the gateway and
     * another attempt.
     */
    private static final double SLOW_OBJECTIVE_FRACTION = 1.0 / 4;

    private final double meanObjectiveMs;
    private double limit = INITIAL_LIMIT;
    private double lastSentAt;

    /** @param meanObjectiveMs mean latency objective of all request classes */
    public ConcurrencyLimit(double meanObjectiveMs) {
        this.meanObjectiveMs = meanObjectiveMs;
    }

    /**
     * Returns whether another attempt may be sent with this many in flight. A limit below 1 requires a pause since the
     * last attempt.
     */
    public boolean allowsAnother(int inFlight, double now) {
        return inFlight == 0 ? limit >= 1 || now >= lastSentAt + meanObjectiveMs / 2 / limit : inFlight + 1 <= limit;
    }

    public void onSend(double now) {
        lastSentAt = now;
    }

    /**
     * Records an attempt that has ended with a response or by its time limit.
     *
     * @param inFlight number of attempts that are still in flight
     */
    public void record(double tookMs, double objectiveMs, int inFlight) {
        if (tookMs > objectiveMs * SLOW_OBJECTIVE_FRACTION) {
            limit = Math.max(MIN_LIMIT, limit * DECREASE_FACTOR);
        } else if (inFlight + 1 >= (int) limit) {
            limit += 1 / Math.max(1, limit);
        }
    }
}
