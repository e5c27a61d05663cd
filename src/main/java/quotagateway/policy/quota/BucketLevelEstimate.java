package quotagateway.policy.quota;

/**
 * Estimates the level of a customer's token bucket, which all gateways share and which exists only as a total on the
 * counter. There are three estimates from the last reading, which differ in what the other gateways are assumed to have
 * taken since. All three refill up to the burst and are set together; each may be below 0 if units were taken before
 * they had accrued.
 */
final class BucketLevelEstimate {
    private final QuotaScope scope;
    private final ShareCalculator share;
    /** The level if the other gateways have taken nothing: the most that can be left. */
    private double upperBound;
    /** The level if the other gateways have continued as before. */
    private double expected;
    /** The level if all gateways have admitted by an estimate as this gateway has, each in proportion to its share. */
    private double ifAllSpendByShare;
    /** The time at which the three levels were valid. */
    private double updatedAt;

    /** Assumes a full bucket until the first reading. */
    BucketLevelEstimate(QuotaScope scope, ShareCalculator share, double now) {
        this.scope = scope;
        this.share = share;
        onReading(scope.plan().burst(), now);
    }

    /** Sets all estimates to the units that a reading of the counter shows as left. */
    void onReading(double units, double now) {
        upperBound = units;
        expected = units;
        ifAllSpendByShare = units;
        updatedAt = now;
    }

    /** Deducts units that this gateway has spent and will report to the counter later. */
    void onUnreportedSpending(double units, double now) {
        ifAllSpendByShare = refilled(ifAllSpendByShare, scope.unitsPerMs(), now) - units / share.share();
        expected = expected(now) - units;
        upperBound = upperBound(now) - units;
        updatedAt = now;
    }

    private double refilled(double level, double unitsPerMs, double now) {
        return Math.min(scope.plan().burst(), level + unitsPerMs * (now - updatedAt));
    }

    /** Returns when the estimates were last set, by a reading or by spending. */
    double updatedAt() {
        return updatedAt;
    }

    /** Returns the upper bound as of the last update. */
    double lastUpperBound() {
        return upperBound;
    }

    /** Returns what is left if the other gateways have taken nothing since the last update. */
    double upperBound(double now) {
        return refilled(upperBound, scope.unitsPerMs(), now);
    }

    /** Returns the upper bound this long after the last update, not capped at the burst. */
    double uncappedLevelAfter(double elapsedMs) {
        return upperBound + scope.unitsPerMs() * elapsedMs;
    }

    /** Returns what is left if the other gateways have continued to take units as the last readings showed. */
    double expected(double now) {
        return refilled(expected, Math.max(0, scope.unitsPerMs() - share.othersUnitsPerMs()), now);
    }

    /**
     * Returns what may be spent without a counter call: the lower of the level expected at the last update and the
     * level if all gateways admit alike.
     */
    double spendableWithoutCounter(double now) {
        return Math.min(refilled(ifAllSpendByShare, scope.unitsPerMs(), now), expected);
    }
}
