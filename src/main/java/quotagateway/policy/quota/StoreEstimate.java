package quotagateway.policy.quota;

/**
 * What is left in a customer's token bucket, which all gateways share and which exists only as a total on the counter:
 * three estimates from the last reading, which differ in what the others are thought to have taken since.
 */
final class StoreEstimate {
    private final ShareCalculator share;
    private final double unitsPerMs;
    /** If the others have taken nothing: the most that can be left. */
    private final TokenBucket atMost;
    /** If the others have gone on as before. */
    private final TokenBucket expected;
    /** If all have admitted on an estimate what this gateway has, each by its share. */
    private final TokenBucket ifAllDoAlike;

    StoreEstimate(QuotaHolder holder, ShareCalculator share, double now) {
        this.share = share;
        unitsPerMs = holder.unitsPerMs();
        atMost = new TokenBucket(holder.plan().burst(), unitsPerMs, now);
        expected = new TokenBucket(holder.plan().burst(), unitsPerMs, now);
        ifAllDoAlike = new TokenBucket(holder.plan().burst(), unitsPerMs, now);
    }

    /** The counter was read: so much is left. */
    void onReading(double units, double now) {
        atMost.set(units, now);
        expected.set(units, now);
        ifAllDoAlike.set(units, now);
    }

    /** This gateway has spent units that the counter is told of later. */
    void onUnreportedSpending(double units, double now) {
        ifAllDoAlike.set(ifAllDoAlike.levelAt(now) - units / share.share(), now);
        expected.set(expected(now) - units, now);
        atMost.set(atMost(now) - units, now);
    }

    /** When the estimates were last set: by a reading, or by spending. */
    double updatedAt() {
        return atMost.updatedAt();
    }

    /** The level as it was then. */
    double lastLevel() {
        return atMost.lastLevel();
    }

    /** What is left if the others have taken nothing since. */
    double atMost(double now) {
        return atMost.levelAt(now);
    }

    /** What may be there so long after the last update, more than a burst not ruled out. */
    double unboundedAfter(double elapsedMs) {
        return atMost.unboundedLevelAfter(elapsedMs);
    }

    /** What is left if the others have gone on as they did when last read. */
    double expected(double now) {
        return expected.levelAt(now, Math.max(0, unitsPerMs - share.othersUnitsPerMs()));
    }

    /** What may be spent without asking: the lower of what was expected and of what is left if all do alike. */
    double spendableUnasked(double now) {
        return Math.min(ifAllDoAlike.levelAt(now), expected.lastLevel());
    }
}
