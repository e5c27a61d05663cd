package quotagateway.policy.quota;

import static quotagateway.policy.statistics.Ewma.FAST_EWMA_WEIGHT;

/** Estimates how many units one customer usually requests in a re-split period. */
final class DemandEstimator {
    /** A customer below this demand counts as idle: about one unit in ten periods. */
    private static final double IDLE_UNITS_PER_PERIOD = 0.1;

    private double unitsPerPeriod;
    private double unitsInPeriod;

    void onRequest(double units) {
        unitsInPeriod += units;
    }

    /** Called at every re-split. */
    void endPeriod() {
        unitsPerPeriod += (unitsInPeriod - unitsPerPeriod) * FAST_EWMA_WEIGHT;
        unitsInPeriod = 0;
    }

    double unitsPerPeriod() {
        return unitsPerPeriod;
    }

    boolean isIdle() {
        return unitsPerPeriod < IDLE_UNITS_PER_PERIOD;
    }
}
