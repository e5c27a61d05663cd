package quotagateway.policy.quota;

import quotagateway.policy.timer.ResplitSchedule;

/**
 * Compares what a total on the counter shows as left of a quota with what can be left. They drift apart: idle time
 * fills the total's allowance beyond the burst, a name is new or was lost by the counter, and calls that were taken
 * as not added were added, or the other way round. A large drift is corrected on the counter, by one gateway for all.
 */
final class DriftDetector {
    /** Drift up to this part of the burst is left alone. */
    private static final double TOLERATED_PART_OF_BURST = 1.0 / 8;
    /** Missing units are given so long to come back: a claim that is cut is returned at once. */
    private static final double LOSS_CONFIRMED_AFTER_MS = ResplitSchedule.PERIOD_MS;
    /** Totals that fell by more than this part of the burst were lost. */
    private static final double LOST_PART_OF_BURST = 1.0 / 2;
    /** Sums of units on the counter differ by less than this where they are equal. */
    private static final double ROUNDING = 1e-6;

    /**
     * What a reading shows too much, or, below 0, too little.
     *
     * @param significant whether it is more than is tolerated
     * @param toBeCorrected whether this gateway has to correct it on the counter now
     */
    record Drift(double units, boolean significant, boolean toBeCorrected) {
        /** Whether units are missing that may be on their way back, so that the counter is to be read again first. */
        boolean isUnconfirmedLoss() {
            return units < 0 && significant && !toBeCorrected;
        }

        /** What the reading shows, without the drift; a tolerated lack is taken as it is. */
        double removeFrom(double reading) {
            return reading - (significant ? units : Math.max(0, units));
        }
    }

    private final QuotaHolder holder;
    private final QuotaContext context;
    private boolean totalSuspect;
    /** Whether the total last read held nothing of others: this gateway was the first to add to its name. */
    private boolean firstOnName;

    private double driftingSince = Double.MAX_VALUE;
    private long lastEpoch = Long.MIN_VALUE;
    private double lastTotal;

    DriftDetector(QuotaHolder holder, QuotaContext context) {
        this.holder = holder;
        this.context = context;
    }

    /**
     * A total was read. It is suspect when its name is new here, or it has fallen: it says nothing then of what others
     * have taken. Otherwise a low reading may be a claim that its gateway is about to cut.
     *
     * @param othersTotal the total without what this call has added
     */
    void noteTotal(long epoch, double othersTotal) {
        double burst = holder.plan().burst();
        boolean lost = othersTotal < burst * LOST_PART_OF_BURST && othersTotal < lastTotal - burst * LOST_PART_OF_BURST;
        totalSuspect |= epoch != lastEpoch || lost;
        firstOnName = Math.abs(othersTotal) < ROUNDING;
    }

    /** Whether the total last read says nothing of what others have taken. */
    boolean isTotalSuspect() {
        return totalSuspect;
    }

    /** How far a reading is from what can be left, which is between the lowest level and {@code maximum}. */
    Drift assess(double reading, double maximum, double now) {
        double units = reading - Math.max(lowestLevel(), Math.min(reading, maximum));
        boolean significant = Math.abs(units) > holder.plan().burst() * TOLERATED_PART_OF_BURST;
        double delay = units < 0 ? LOSS_CONFIRMED_AFTER_MS : totalSuspect ? turnDelayMs() : 0;
        driftingSince = significant ? Math.min(driftingSince, now) : Double.MAX_VALUE;
        totalSuspect &= significant;
        boolean toBeCorrected = significant && now >= driftingSince + delay;
        if (toBeCorrected) {
            driftingSince = Double.MAX_VALUE;
        }
        return new Drift(units, significant, toBeCorrected);
    }

    /**
     * Where all find the same total suspect, one corrects it first, and the others see that. It is the one whose claim
     * came first to the name: the counter tells it so. Were it left to the gateways in turn, all would be granted what
     * the name shows too much until one had waited and claimed again, and the first in turn may have no requests. They
     * correct it in turn where the first one's correction was lost.
     */
    private double turnDelayMs() {
        return firstOnName
                ? 0
                : holder.position() * context.settings().capabilities().counterTimeout();
    }

    /** What the total will be once this gateway's returns and corrections are added. */
    void setLastTotal(long epoch, double total) {
        lastEpoch = epoch;
        lastTotal = total;
    }

    /** Whether the last total was read under the name of this epoch. */
    boolean wasLastReadIn(long epoch) {
        return lastEpoch == epoch;
    }

    /** Whether any total was read. */
    boolean hasReadAny() {
        return lastEpoch != Long.MIN_VALUE;
    }

    double lastTotal() {
        return lastTotal;
    }

    /** How far below 0 the level can be, by units that were claimed before they were there. */
    double lowestLevel() {
        return -holder.unitsPerMs() * context.objectives().longestMs();
    }
}
