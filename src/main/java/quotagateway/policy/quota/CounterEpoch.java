package quotagateway.policy.quota;

import quotagateway.policy.hash.SplitMix64;
import quotagateway.policy.timer.ResplitSchedule;

/**
 * The names of running totals on the shared counter. A customer has two: units taken, and requests open at once. Each
 * gets a new name at every epoch, as the counter keeps a total for a limited time and what a killed gateway left in it
 * has to be forgotten. All gateways compute the same names from their clocks.
 */
final class CounterEpoch {
    /** Length of an epoch of units taken; totals are kept for two, and the counter keeps none beyond 60 s. */
    static final double LENGTH_MS = 120 * ResplitSchedule.PERIOD_MS;
    /** Length of an epoch of open requests: what a killed gateway held is forgotten by then. */
    static final double OPEN_COUNT_LENGTH_MS = 16 * ResplitSchedule.PERIOD_MS;
    /** A total outlives its epoch by one more, so that it can be carried over. */
    static final double KEPT_EPOCHS = 2;

    private CounterEpoch() {}

    static long at(double now) {
        return (long) Math.floor(now / LENGTH_MS);
    }

    static long openCountAt(double now) {
        return (long) Math.floor(now / OPEN_COUNT_LENGTH_MS);
    }

    static double startOf(long epoch) {
        return epoch * LENGTH_MS;
    }

    /** Even numbers are hashed for the names of units, odd ones for those of open requests. */
    static long unitsName(long holderKey, long epoch) {
        return SplitMix64.mix(holderKey + 2 * epoch) >>> 1;
    }

    static long openCountName(long holderKey, long epoch) {
        return SplitMix64.mix(holderKey + 2 * epoch + 1) >>> 1;
    }
}
