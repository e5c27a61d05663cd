package quotagateway.policy.health;

import static quotagateway.policy.statistics.Ewma.FAST_EWMA_WEIGHT;

/**
 * How slow one endpoint is, as a multiple of what its request classes usually take: an EWMA over responses, which goes
 * back to 1 while there are none, so that an endpoint that was slow once is tried again.
 */
public final class LatencyEstimator {
    /** Without new samples half of the distance from 1 is forgotten in this time. */
    public static final double SLOWNESS_HALF_LIFE_MS = 4000;
    /** One sample counts as so many times the usual at the most, so that a single one is soon outweighed. */
    private static final double MAX_SAMPLE = 30;
    /** An endpoint that rejects as it is full counts as so many times slower than it was. */
    private static final double FULL_FACTOR = 2;

    private double slowness = 1;
    private double updatedAt;

    /** Slowness by the responses so far; 1 is usual. */
    public double slowness(double now) {
        return 1 + (slowness - 1) * Math.pow(0.5, (now - updatedAt) / SLOWNESS_HALF_LIFE_MS);
    }

    /** A response took so many times the mean of its class. */
    public void record(double timesUsual, double now) {
        double current = slowness(now);
        slowness = current + (Math.min(timesUsual, MAX_SAMPLE) - current) * FAST_EWMA_WEIGHT;
        updatedAt = now;
    }

    /** The endpoint rejected an attempt as it had no capacity left. */
    public void recordFull(double now) {
        record(FULL_FACTOR * slowness, now);
    }

    /** Forgets everything: another process answers there now. */
    public void reset() {
        slowness = 1;
    }
}
