package quotagateway.transport;

import java.util.SplittableRandom;

/** A delay that doubles with each use up to a bound, until {@link #reset} sets it back. */
public final class ExponentialBackoff {
    private final double initialMs;
    private final double maxMs;
    private double nextMs;

    public ExponentialBackoff(double initialMs, double maxMs) {
        this.initialMs = initialMs;
        this.maxMs = maxMs;
        nextMs = initialMs;
    }

    /** Sets the delay back to its initial length. */
    public void reset() {
        nextMs = initialMs;
    }

    /** The delay (ms) to use now; the one behind it is twice as long. */
    public double nextMs() {
        double delayMs = nextMs;
        nextMs = Math.min(2 * delayMs, maxMs);
        return delayMs;
    }

    /**
     * As {@link #nextMs}, with one draw that spreads it evenly between half of the delay and the whole, so that nodes
     * that failed together do not come back together.
     */
    public double nextJitteredMs(SplittableRandom random) {
        return nextMs() * (1 + random.nextDouble()) / 2;
    }
}
