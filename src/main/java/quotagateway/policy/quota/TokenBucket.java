package quotagateway.policy.quota;

/**
 * A level that refills at a rate up to a burst. Unlike a textbook bucket it may be set to what was read elsewhere, and
 * below 0 where units were taken before they were there.
 */
final class TokenBucket {
    private final double burst;
    private final double unitsPerMs;
    private double level;
    private double updatedAt;

    /** A full bucket. */
    TokenBucket(double burst, double unitsPerMs, double now) {
        this.burst = burst;
        this.unitsPerMs = unitsPerMs;
        set(burst, now);
    }

    double levelAt(double now) {
        return levelAt(now, unitsPerMs);
    }

    /** The level if it has refilled at another rate. */
    double levelAt(double now, double refillPerMs) {
        return Math.min(burst, level + refillPerMs * (now - updatedAt));
    }

    /** The level so long after its last update, were there no burst to bound it. */
    double unboundedLevelAfter(double elapsedMs) {
        return level + unitsPerMs * elapsedMs;
    }

    /** The level as of its last update. */
    double lastLevel() {
        return level;
    }

    double updatedAt() {
        return updatedAt;
    }

    void set(double newLevel, double now) {
        level = newLevel;
        updatedAt = now;
    }

    /** Adds units, up to the burst. */
    void refill(double units, double now) {
        set(Math.min(burst, level + units), now);
    }

    /** Takes units off the level as it stands. */
    void take(double units) {
        level -= units;
    }
}
