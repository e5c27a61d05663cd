package quotagateway.policy.quota;

import static quotagateway.policy.statistics.Ewma.FAST_EWMA_WEIGHT;

import quotagateway.policy.statistics.Ewma;

/** How many units one customer usually asks for in a re-split period. */
final class DemandEstimator {
    /** Below this a customer counts as idle: about one unit in ten periods. */
    private static final double IDLE_UNITS = 0.1;

    private final Ewma unitsPerPeriod = new Ewma(FAST_EWMA_WEIGHT, 0);
    private double unitsInPeriod;

    void onRequest(double units) {
        unitsInPeriod += units;
    }

    /** Called at every re-split. */
    void endPeriod() {
        unitsPerPeriod.add(unitsInPeriod);
        unitsInPeriod = 0;
    }

    double unitsPerPeriod() {
        return unitsPerPeriod.value();
    }

    boolean isIdle() {
        return unitsPerPeriod() < IDLE_UNITS;
    }
}
