package quotagateway.policy.statistics;

/**
 * An exponentially weighted moving average: each sample moves the value by a fixed fraction of its distance from the
 * sample, so that the n-th sample back counts with {@code weight * (1 - weight)^n}.
 */
public final class Ewma {
    /** Follows about the last ten samples, which is what a second of ordinary traffic yields. */
    public static final double FAST_EWMA_WEIGHT = 0.2;
    /** Follows about the last sixty samples, for means that other values are compared with. */
    public static final double SLOW_EWMA_WEIGHT = 0.03;

    private final double weight;
    private double value;

    /** @param initial value before the first sample */
    public Ewma(double weight, double initial) {
        this.weight = weight;
        value = initial;
    }

    public double value() {
        return value;
    }

    public void add(double sample) {
        add(sample, weight);
    }

    /** Adds a sample with a weight of its own. */
    public void add(double sample, double sampleWeight) {
        value += (sample - value) * sampleWeight;
    }
}
