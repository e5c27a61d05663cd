package quotagateway.policy.health;

import static quotagateway.policy.statistics.Ewma.FAST_EWMA_WEIGHT;

/**
 * Estimates how slow one endpoint is, as a multiple of the mean latency of its request classes: an EWMA over responses
 * that decays to 1 while there are none, so that an endpoint that was slow is tried again.
 */
public final class LatencyEstimator {
    /** Time in which the distance of the slowness from 1 halves without new samples. */
    public static final double SLOWNESS_HALF_LIFE_MS = 4000;
    /** Upper bound of one sample, as a multiple of the mean latency, so that a single sample is soon outweighed. */
    private static final double MAX_RELATIVE_LATENCY = 30;
    /** An endpoint that rejects an attempt because it is full counts as this many times slower than before. */
    private static final double FULL_SLOWDOWN_FACTOR = 2;

    private double slowness = 1;
    private double updatedAt;

    /** Returns the slowness according to past responses; 1 is the mean of the request classes. */
    public double slowness(double now) {
        return 1 + (slowness - 1) * Math.pow(0.5, (now - updatedAt) / SLOWNESS_HALF_LIFE_MS);
    }

    /** Records a response with this multiple of the mean latency of its class. */
    public void record(double relativeLatency, double now) {
        double current = slowness(now);
        slowness = current + (Math.min(relativeLatency, MAX_RELATIVE_LATENCY) - current) * FAST_EWMA_WEIGHT;
        updatedAt = now;
    }

    /** Records that the endpoint rejected an attempt because it had no capacity left. */
    public void recordFull(double now) {
        record(FULL_SLOWDOWN_FACTOR * slowness, now);
    }

    /** Discards all samples because another process now runs at the endpoint. */
    public void reset() {
        slowness = 1;
    }
}
