package quotagateway.policy.quota;

/**
 * What is left in a customer's token bucket, which all gateways share and which exists only as a total on the counter:
 * three estimates from the last reading, which differ in what the others are thought to have taken since. All are
 * levels that refill up to the burst, and are set together; each may be below 0 where units were taken before they
 * were there.
 */
final class StoreEstimate {
    private final QuotaHolder holder;
    private final ShareCalculator share;
    /** If the others have taken nothing: the most that can be left. */
    private double atMost;
    /** If the others have gone on as before. */
    private double expected;
    /** If all have admitted on an estimate what this gateway has, each by its share. */
    private double ifAllDoAlike;
    /** When the levels were as they stand here. */
    private double updatedAt;

    /** A full bucket, until there is a reading. */
    StoreEstimate(QuotaHolder holder, ShareCalculator share, double now) {
        this.holder = holder;
        this.share = share;
        onReading(holder.plan().burst(), now);
    }

    /** The counter was read: so much is left. */
    void onReading(double units, double now) {
        atMost = units;
        expected = units;
        ifAllDoAlike = units;
        updatedAt = now;
    }

    /** This gateway has spent units that the counter is told of later. */
    void onUnreportedSpending(double units, double now) {
        ifAllDoAlike = refilled(ifAllDoAlike, holder.unitsPerMs(), now) - units / share.share();
        expected = expected(now) - units;
        atMost = atMost(now) - units;
        updatedAt = now;
    }

    private double refilled(double level, double unitsPerMs, double now) {
        return Math.min(holder.plan().burst(), level + unitsPerMs * (now - updatedAt));
    }

    /** When the estimates were last set: by a reading, or by spending. */
    double updatedAt() {
        return updatedAt;
    }

    /** The level as it was then, if the others had taken nothing. */
    double lastAtMost() {
        return atMost;
    }

    /** What is left if the others have taken nothing since. */
    double atMost(double now) {
        return refilled(atMost, holder.unitsPerMs(), now);
    }

    /** What may be there so long after the last update, more than a burst not ruled out. */
    double unboundedAfter(double elapsedMs) {
        return atMost + holder.unitsPerMs() * elapsedMs;
    }

    /** What is left if the others have gone on as they did when last read. */
    double expected(double now) {
        return refilled(expected, Math.max(0, holder.unitsPerMs() - share.othersUnitsPerMs()), now);
    }

    /** What may be spent without asking: the lower of what was expected and of what is left if all do alike. */
    double spendableUnasked(double now) {
        return Math.min(refilled(ifAllDoAlike, holder.unitsPerMs(), now), expected);
    }
}
