package quotagateway.policy.slowstart;

import quotagateway.policy.timer.ResplitSchedule;

/**
 * How many endpoints this gateway usually has: up at once, down slowly. A fleet that has shrunk for a while is taken
 * for its former size, as the lost part comes back soon, and its traffic with it.
 */
public final class FleetSizeEstimator {
    /** A lost part is held to be coming back for about this long. */
    private static final double SHRINK_TIME_CONSTANT_MS = 60_000;

    private double usualSize;

    /** An endpoint has come into use. */
    public void onGrowth(int size) {
        usualSize = Math.max(usualSize, size);
    }

    /** Called at every re-split. */
    public void endPeriod(int size) {
        usualSize += (size - usualSize) * ResplitSchedule.PERIOD_MS / SHRINK_TIME_CONSTANT_MS;
    }

    public double usualSize() {
        return usualSize;
    }
}
