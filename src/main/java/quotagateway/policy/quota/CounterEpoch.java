package quotagateway.policy.quota;

import quotagateway.policy.hash.SplitMix64;
import quotagateway.policy.timer.ResplitSchedule;

/**
 * Computes the names of the running totals on the shared counter. A customer has two totals: units taken, and requests
 * currently open. Each gets a new name in every epoch, as the counter keeps a total for a limited time and what a
 * killed gateway left in it has to be forgotten. All gateways compute the same names from their clocks.
 */
final class CounterEpoch {
    /** Length of an epoch of units taken; totals are kept for two epochs, and the counter keeps none beyond 60 s. */
    static final double LENGTH_MS = 120 * ResplitSchedule.PERIOD_MS;
    /** Length of an epoch of open requests, after which the slots of a killed gateway are forgotten. */
    static final double OPEN_COUNT_LENGTH_MS = 16 * ResplitSchedule.PERIOD_MS;
    /** A total is kept for one epoch after its own, so that the level can be carried over. */
    static final double RETAINED_EPOCHS = 2;

    private CounterEpoch() {}

    static long unitsEpochAt(double now) {
        return (long) Math.floor(now / LENGTH_MS);
    }

    static long openCountEpochAt(double now) {
        return (long) Math.floor(now / OPEN_COUNT_LENGTH_MS);
    }

    static double startOf(long epoch) {
        return epoch * LENGTH_MS;
    }

    /** Names of units totals hash the key plus an even number, names of open-request counts the key plus an odd one. */
    static long unitsTotalName(long quotaKey, long epoch) {
        return SplitMix64.mix(quotaKey + 2 * epoch) >>> 1;
    }

    static long openCountName(long quotaKey, long epoch) {
        return SplitMix64.mix(quotaKey + 2 * epoch + 1) >>> 1;
    }
}
