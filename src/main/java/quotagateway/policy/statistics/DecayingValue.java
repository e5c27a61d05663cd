package quotagateway.policy.statistics;

/**
 * A value that decays: without updates, its distance from a baseline halves in every half-life, so that old
 * observations lose their effect.
 */
public final class DecayingValue {
    private final double baseline;
    private final double halfLifeMs;
    private double value;
    private double updatedAt;

    /** Creates a value that starts at the baseline. */
    public DecayingValue(double baseline, double halfLifeMs, double now) {
        this.baseline = baseline;
        this.halfLifeMs = halfLifeMs;
        value = baseline;
        updatedAt = now;
    }

    /** Returns the value, decayed until now. */
    public double valueAt(double now) {
        if (value == baseline) {
            return value; // most values are at the baseline, and pow() is the largest cost of choosing an endpoint
        }
        return baseline + (value - baseline) * Math.pow(0.5, (now - updatedAt) / halfLifeMs);
    }

    /** Returns the value as of its last update, without decay. */
    public double lastValue() {
        return value;
    }

    public void set(double newValue, double now) {
        value = newValue;
        updatedAt = now;
    }

    /** Resets the value to the baseline. */
    public void reset() {
        value = baseline;
    }
}
