package quotagateway.policy.quota;

/** A token bucket: a level that is refilled up to a burst, and the time of the last refill. */
final class TokenBucket {
    private final double burst;
    private double level;
    private double updatedAt;

    TokenBucket(double burst, double level, double now) {
        this.burst = burst;
        this.level = level;
        updatedAt = now;
    }

    /** Returns the level as of the last refill, less the units taken since. */
    double level() {
        return level;
    }

    /** Returns the time of the last refill. */
    double updatedAt() {
        return updatedAt;
    }

    /** Adds the units that have accrued since the last refill, up to the burst. */
    void refill(double units, double now) {
        level = Math.min(burst, level + units);
        updatedAt = now;
    }

    void take(double units) {
        level -= units;
    }
}
