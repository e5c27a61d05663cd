package quotagateway.policy.quota;

import static quotagateway.policy.statistics.Ewma.FAST_EWMA_WEIGHT;

import quotagateway.policy.timer.ResplitSchedule;

/**
 * This gateway's part of a customer's quota, by what it and all gateways took of it lately. It is used where the
 * counter cannot be asked: it says how much of the rate may be given out here in the meantime.
 */
final class ShareCalculator {
    /** Of what was taken half counts no more after this time. */
    private static final double USE_HALF_LIFE_MS = 4000;
    /**
     * So much of a burst, taken evenly by all gateways, is added to what was seen: it is all that is known at first.
     */
    private static final double EVEN_PART_OF_BURST = 1.0 / 8;

    private final QuotaHolder holder;
    /** Units that this gateway has taken, old ones counting less and less. */
    private double ownUnits;
    /** Units that all gateways have taken, likewise. */
    private double allUnits;
    /** When these were last counted. */
    private double countedAt;

    private double share;

    ShareCalculator(QuotaHolder holder, double now) {
        this.holder = holder;
        countedAt = now;
        share = evenShare();
    }

    /** From 0 to 1. */
    double share() {
        return share;
    }

    /** What the other gateways took for each millisecond, by the readings so far. */
    double othersUnitsPerMs() {
        return (allUnits - ownUnits) * Math.log(2) / USE_HALF_LIFE_MS;
    }

    /**
     * A reading of the counter.
     *
     * @param own units that this gateway has taken since the last reading
     * @param all units that all have; more than there can have been is a total that another gateway has corrected
     * @param lastReadAt when that reading was
     */
    void record(double own, double all, double lastReadAt, double now) {
        double burst = holder.plan().burst();
        double maximum = own + burst + holder.unitsPerMs() * (now - lastReadAt);
        double kept = Math.pow(0.5, (now - countedAt) / USE_HALF_LIFE_MS);
        ownUnits = ownUnits * kept + own;
        allUnits = allUnits * kept + Math.max(own, Math.min(all, maximum));
        countedAt = now;
        double even = burst * EVEN_PART_OF_BURST;
        share = (ownUnits + even / holder.gatewayCount()) / (allUnits + even);
    }

    /** While nothing is read the share moves to the even one: requests may come to other gateways than before. */
    void driftToEven(double elapsedMs) {
        share += (evenShare() - share) * FAST_EWMA_WEIGHT * Math.min(1, elapsedMs / ResplitSchedule.PERIOD_MS);
    }

    private double evenShare() {
        return 1.0 / holder.gatewayCount();
    }
}
