package quotagateway.policy.quota;

import static quotagateway.policy.statistics.Ewma.FAST_EWMA_WEIGHT;

import quotagateway.policy.timer.ResplitSchedule;

/**
 * Calculates this gateway's share of a customer's quota from the units that this gateway and all gateways took
 * recently. While the counter cannot be called, the share determines how much of the rate this gateway may give out.
 */
final class ShareCalculator {
    /** Units that were taken count half after this time. */
    private static final double USAGE_HALF_LIFE_MS = 4000;
    /**
     * This fraction of the burst is added to the observed units as if all gateways had taken it evenly: initially
     * nothing else is known.
     */
    private static final double EVEN_BURST_FRACTION = 1.0 / 8;

    private final QuotaScope scope;
    /** Units that this gateway has taken, with exponential decay. */
    private double ownUnits;
    /** Units that all gateways have taken, with exponential decay. */
    private double allUnits;
    /** When the units taken were last updated. */
    private double updatedAt;

    private double share;

    ShareCalculator(QuotaScope scope, double now) {
        this.scope = scope;
        updatedAt = now;
        share = evenShare();
    }

    /** Returns this gateway's share, from 0 to 1. */
    double share() {
        return share;
    }

    /** Returns how many units per millisecond the other gateways took, by the readings so far. */
    double othersUnitsPerMs() {
        return (allUnits - ownUnits) * Math.log(2) / USAGE_HALF_LIFE_MS;
    }

    /**
     * Records a reading of the counter.
     *
     * @param own units that this gateway has taken since the last reading
     * @param all units that all gateways have taken since then; capped at what was possible, as a larger value means
     *     that another gateway has corrected the total
     * @param lastReadAt when the last reading was taken
     */
    void record(double own, double all, double lastReadAt, double now) {
        double burst = scope.plan().burst();
        double maximum = own + burst + scope.unitsPerMs() * (now - lastReadAt);
        double decay = Math.pow(0.5, (now - updatedAt) / USAGE_HALF_LIFE_MS);
        ownUnits = ownUnits * decay + own;
        allUnits = allUnits * decay + Math.max(own, Math.min(all, maximum));
        updatedAt = now;
        double even = burst * EVEN_BURST_FRACTION;
        share = (ownUnits + even / scope.gatewayCount()) / (allUnits + even);
    }

    /** Moves the share towards the even share while nothing is read, as requests may move to other gateways. */
    void convergeToEvenShare(double elapsedMs) {
        share += (evenShare() - share) * FAST_EWMA_WEIGHT * Math.min(1, elapsedMs / ResplitSchedule.PERIOD_MS);
    }

    private double evenShare() {
        return 1.0 / scope.gatewayCount();
    }
}
