package quotagateway.policy.quota;

import java.util.ArrayDeque;

/**
 * The units that a gateway has in hand for one customer (credits): leased from the counter, some of them only from a
 * later time on, or taken from the gateway's share of the rate while the counter is away. The latter have to be
 * reported to the counter once they are spent.
 */
final class CreditBalance {
    /** Parts that fall due within this time are due: times are sums of rounded numbers. */
    private static final double DUE_TOLERANCE_MS = 1e-6;

    /** When each leased unit that is not there yet falls due, the earliest first. */
    private final ArrayDeque<Double> dueTimes = new ArrayDeque<>(1); // empty for most customers

    /** How many of them there are: it is looked at for every customer at every re-split. */
    private int scheduledUnits;

    private final boolean local;
    private double credits;
    private double unreported;
    private double accruedAt;

    /** @param local whether no other gateway shares the quota, so that nothing has to be reported */
    CreditBalance(boolean local, double initialCredits, double now) {
        this.local = local;
        credits = initialCredits;
        accruedAt = now;
    }

    /** Whether no other gateway shares the quota. */
    boolean isLocal() {
        return local;
    }

    /** Units that may be spent now; below 0 where units were spent on an estimate. */
    double credits() {
        return credits;
    }

    /** Credits that the counter has not been told of. */
    double unreported() {
        return unreported;
    }

    /** Leased units that fall due later. */
    double scheduledUnits() {
        return scheduledUnits;
    }

    /** When the share of the rate was last given out. */
    double accruedAt() {
        return accruedAt;
    }

    void setAccruedAt(double now) {
        accruedAt = now;
    }

    /** Adds leased units. */
    void add(double units) {
        credits += units;
    }

    /** A leased unit becomes a credit at this time; later ones have to be scheduled later. */
    void schedule(double dueAt) {
        dueTimes.add(dueAt);
        scheduledUnits++;
    }

    /** Makes credits of the leased units that have fallen due. */
    void collectDue(double now) {
        while (scheduledUnits > 0 && dueTimes.peek() <= now + DUE_TOLERANCE_MS) {
            dueTimes.poll();
            scheduledUnits--;
            credits++;
        }
    }

    /** Adds units of the gateway's share of the rate, as long as credits stay below a bound. */
    void accrue(double units, double maxCredits) {
        double accrued = Math.max(0, Math.min(maxCredits - credits, units));
        credits += accrued;
        if (!local) {
            unreported += accrued;
        }
    }

    /** Takes credits back that are returned to the counter. */
    void giveBack(double units) {
        credits -= units;
    }

    /**
     * Spends units, leased ones first.
     *
     * @return how many of them have to be reported to the counter, 0 for none
     */
    double spend(double units) {
        credits -= units;
        double toReport = Math.max(0, unreported - credits);
        if (toReport > 0) {
            unreported = Math.max(0, Math.min(unreported, credits));
            credits = Math.max(0, credits);
        }
        return toReport;
    }
}
