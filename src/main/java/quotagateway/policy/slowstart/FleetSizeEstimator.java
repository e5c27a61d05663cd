package quotagateway.policy.slowstart;

import quotagateway.policy.timer.ResplitSchedule;

/**
 * Estimates how many endpoints this gateway usually has. The estimate rises immediately and falls slowly: after a loss
 * it stays near the former size for a while, because the lost endpoints return soon, and their traffic with them.
 */
public final class FleetSizeEstimator {
    /**
     * Time constant with which the estimate decays to the present number of this gateway's endpoints after a loss: lost
     * endpoints are expected to return within about this time.
     */
    private static final double SIZE_DECAY_TIME_CONSTANT_MS = 60_000;

    private double estimatedSize;

    /** Called when an endpoint has become a member, with the new number of members. */
    public void onGrowth(int size) {
        estimatedSize = Math.max(estimatedSize, size);
    }

    /** Called at every re-split, with the present number of members. */
    public void endPeriod(int size) {
        estimatedSize += (size - estimatedSize) * ResplitSchedule.PERIOD_MS / SIZE_DECAY_TIME_CONSTANT_MS;
    }

    public double estimatedSize() {
        return estimatedSize;
    }
}
