package quotagateway.policy.statistics;

/**
 * A value with the time of its last update. Without updates its distance from a resting value halves in every
 * half-life: what was learned long ago is forgotten.
 */
public final class DecayingValue {
    private final double restingValue;
    private final double halfLifeMs;
    private double value;
    private double updatedAt;

    /** A value that begins at rest. */
    public DecayingValue(double restingValue, double halfLifeMs, double now) {
        this.restingValue = restingValue;
        this.halfLifeMs = halfLifeMs;
        value = restingValue;
        updatedAt = now;
    }

    /** The value as it has decayed by now. */
    public double valueAt(double now) {
        if (value == restingValue) {
            return value; // most are at rest, and the power below costs more than all else in the choice of an endpoint
        }
        return restingValue + (value - restingValue) * Math.pow(0.5, (now - updatedAt) / halfLifeMs);
    }

    /** The value as of its last update, not decayed since. */
    public double lastValue() {
        return value;
    }

    public void set(double newValue, double now) {
        value = newValue;
        updatedAt = now;
    }

    /** Back to the resting value. */
    public void reset() {
        value = restingValue;
    }
}
