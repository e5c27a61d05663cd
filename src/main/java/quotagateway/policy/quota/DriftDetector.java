package quotagateway.policy.quota;

import quotagateway.policy.timer.ResplitSchedule;

/**
 * Detects drift: the difference between the level that a total on the counter shows and the level that is possible.
 * Drift occurs when idle time accrues more than the burst for the total, when a total is new or was lost by the
 * counter, and when calls that were assumed not to be added were added, or vice versa. A large drift is corrected on
 * the counter by one gateway on behalf of all.
 */
final class DriftDetector {
    /** Drift up to this fraction of the burst is not corrected. */
    private static final double TOLERATED_BURST_FRACTION = 1.0 / 8;
    /** How long missing units may take to come back: a gateway immediately returns what it does not keep of a claim. */
    private static final double LOSS_CONFIRMED_AFTER_MS = ResplitSchedule.PERIOD_MS;
    /** A total that fell by more than this fraction of the burst to less than it was lost by the counter. */
    private static final double LOST_BURST_FRACTION = 1.0 / 2;
    /** Tolerance for rounding errors when sums of units on the counter are compared. */
    private static final double ROUNDING = 1e-6;

    /**
     * The drift of a reading.
     *
     * @param units what the reading shows in excess, or, if negative, too little
     * @param significant whether the drift exceeds the tolerance
     * @param toBeCorrected whether this gateway has to correct the drift on the counter now
     */
    record Drift(double units, boolean significant, boolean toBeCorrected) {
        /**
         * Returns whether units are missing that may be about to be returned, so that the counter must be read again.
         */
        boolean isUnconfirmedLoss() {
            return units < 0 && significant && !toBeCorrected;
        }

        /** Returns the reading without the drift; a shortage within the tolerance is kept. */
        double removeFrom(double reading) {
            return reading - (significant ? units : Math.max(0, units));
        }
    }

    private final QuotaScope scope;
    private final QuotaContext context;
    private boolean totalSuspect;
    /** Whether the total last read contained no units of others: this gateway was the first to add to its name. */
    private boolean firstToAdd;

    private double driftedSince = Double.MAX_VALUE;
    private long lastEpoch = Long.MIN_VALUE;
    private double lastTotal;

    DriftDetector(QuotaScope scope, QuotaContext context) {
        this.scope = scope;
        this.context = context;
    }

    /**
     * Records that a total was read. The total is suspect if its name is new to this gateway or if it has fallen: it
     * then does not show what other gateways have taken. Otherwise a low reading may be due to a claim of which another
     * gateway is about to return a part.
     *
     * @param othersTotal the total without the units that this call has added
     */
    void onTotalRead(long epoch, double othersTotal) {
        double burst = scope.plan().burst();
        boolean lost =
                othersTotal < burst * LOST_BURST_FRACTION && othersTotal < lastTotal - burst * LOST_BURST_FRACTION;
        totalSuspect |= epoch != lastEpoch || lost;
        firstToAdd = Math.abs(othersTotal) < ROUNDING;
    }

    /** Returns whether the total last read does not show what other gateways have taken. */
    boolean isTotalSuspect() {
        return totalSuspect;
    }

    /**
     * Returns how far a reading is from the possible levels, which are between the lowest level and {@code maximum}.
     */
    Drift assess(double reading, double maximum, double now) {
        double units = reading - Math.max(lowestLevel(), Math.min(reading, maximum));
        boolean significant = Math.abs(units) > scope.plan().burst() * TOLERATED_BURST_FRACTION;
        double delay = units < 0 ? LOSS_CONFIRMED_AFTER_MS : totalSuspect ? correctionDelayMs() : 0;
        driftedSince = significant ? Math.min(driftedSince, now) : Double.MAX_VALUE;
        totalSuspect &= significant;
        boolean toBeCorrected = significant && now >= driftedSince + delay;
        if (toBeCorrected) {
            driftedSince = Double.MAX_VALUE;
        }
        return new Drift(units, significant, toBeCorrected);
    }

    /**
     * Returns how long this gateway waits before it corrects an excess of a suspect total. If all gateways find the
     * same total suspect, one of them corrects it first, and the others see the correction. This is the gateway whose
     * claim was the first under the name, as it sees from the counter's reply. If the gateways only took turns by
     * position, all would be granted the excess until one had waited for its turn and claimed again, and those at the
     * first positions may have no requests. The gateways take turns in case the correction of the first one was lost.
     */
    private double correctionDelayMs() {
        return firstToAdd
                ? 0
                : scope.position() * context.settings().capabilities().counterTimeout();
    }

    /** Sets what the total will be once this gateway's returns and corrections are added. */
    void setLastTotal(long epoch, double total) {
        lastEpoch = epoch;
        lastTotal = total;
    }

    /** Returns whether the last total was read under the name of this epoch. */
    boolean wasLastReadIn(long epoch) {
        return lastEpoch == epoch;
    }

    /** Returns whether any total was read. */
    boolean hasReadAny() {
        return lastEpoch != Long.MIN_VALUE;
    }

    double lastTotal() {
        return lastTotal;
    }

    /** Returns the lowest possible level, which is below 0 as units may be claimed before they have accrued. */
    double lowestLevel() {
        return -scope.unitsPerMs() * context.objectives().longestMs();
    }
}
