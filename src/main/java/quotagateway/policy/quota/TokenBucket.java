package quotagateway.policy.quota;

/** A level that is refilled up to a burst, and remembers when. */
final class TokenBucket {
    private final double burst;
    private double level;
    private double updatedAt;

    TokenBucket(double burst, double level, double now) {
        this.burst = burst;
        this.level = level;
        updatedAt = now;
    }

    /** The level as of the last refill, less what was taken since. */
    double level() {
        return level;
    }

    /** When it was refilled last. */
    double updatedAt() {
        return updatedAt;
    }

    /** Adds what has come since the last refill, up to the burst. */
    void refill(double units, double now) {
        level = Math.min(burst, level + units);
        updatedAt = now;
    }

    void take(double units) {
        level -= units;
    }
}
