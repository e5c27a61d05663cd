package quotagateway.policy.statistics;

/**
 * An exponentially weighted moving average: each sample moves the value by a fixed part of its distance from it, so
 * that the n-th sample back counts with {@code weight * (1 - weight)^n}.
 */
public final class Ewma {
    /** Follows the last ten samples or so: what a second of ordinary traffic shows. */
    public static final double FAST_EWMA_WEIGHT = 0.2;
    /** Follows the last sixty samples or so: for means that others are judged by. */
    public static final double SLOW_EWMA_WEIGHT = 0.03;

    private final double weight;
    private double value;

    /** @param initial the value until there are samples */
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

    /** Adds a sample that counts with a weight of its own. */
    public void add(double sample, double sampleWeight) {
        value += (sample - value) * sampleWeight;
    }
}
