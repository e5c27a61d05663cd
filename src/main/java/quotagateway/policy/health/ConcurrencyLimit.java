package quotagateway.policy.health;

/**
 * How many attempts of this gateway one endpoint may have in flight: additive increase while the limit is reached and
 * responses are quick, multiplicative decrease when they are slow, as TCP's congestion window. A limit below 1 is a
 * pause between attempts, as one attempt of every gateway can be too much for an endpoint.
 */
public final class ConcurrencyLimit {
    /** About two for each core of a small machine. */
    private static final double INITIAL_LIMIT = 4;
    /** The least: an attempt in eight half objectives still shows soon when an endpoint does better. */
    private static final double MIN_LIMIT = 1.0 / 8;
    /** A slow response takes a tenth off the limit: some are long by themselves. */
    private static final double DECREASE_FACTOR = 0.9;
    /** A response is slow beyond this part of its objective: the rest is for a queue here and another attempt. */
    private static final double SLOW_PART_OF_OBJECTIVE = 1.0 / 4;

    private final double meanObjectiveMs;
    private double limit = INITIAL_LIMIT;
    private double lastSentAt;

    /** @param meanObjectiveMs mean latency objective of all request classes */
    public ConcurrencyLimit(double meanObjectiveMs) {
        this.meanObjectiveMs = meanObjectiveMs;
    }

    /** Whether one more may be sent, with so many in flight; a limit below 1 asks for a pause since the last. */
    public boolean allowsAnother(int inFlight, double now) {
        return inFlight == 0 ? limit >= 1 || now >= lastSentAt + meanObjectiveMs / 2 / limit : inFlight + 1 <= limit;
    }

    public void onSend(double now) {
        lastSentAt = now;
    }

    /**
     * An attempt has ended, by a response or its time limit.
     *
     * @param inFlight attempts that are still in flight
     */
    public void record(double tookMs, double objectiveMs, int inFlight) {
        if (tookMs > objectiveMs * SLOW_PART_OF_OBJECTIVE) {
            limit = Math.max(MIN_LIMIT, limit * DECREASE_FACTOR);
        } else if (inFlight + 1 >= (int) limit) {
            limit += 1 / Math.max(1, limit);
        }
    }
}
