package quotagateway.policy.quota;

import java.util.ArrayDeque;

/**
 * The units that a gateway holds for one customer (credits): leased from the counter, some of them available only from
 * a later time on, or accrued from the gateway's share of the rate while the counter does not respond. Accrued units
 * have to be reported to the counter once they are spent.
 */
final class CreditBalance {
    /** Units that fall due within this time count as due, as due times are sums of rounded numbers. */
    private static final double DUE_TOLERANCE_MS = 1e-6;

    /** When each leased unit that is not available yet falls due, the earliest first. */
    private final ArrayDeque<Double> dueTimes = new ArrayDeque<>(1); // empty for most customers

    /** The size of {@link #dueTimes}, kept as a field because every re-split reads it for every customer. */
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

    /** Returns whether no other gateway shares the quota. */
    boolean isLocal() {
        return local;
    }

    /** Returns the units that may be spent now; below 0 if units were spent based on an estimate. */
    double credits() {
        return credits;
    }

    /** Returns the credits that were accrued and not reported to the counter. */
    double unreported() {
        return unreported;
    }

    /** Returns the number of leased units that fall due later. */
    double scheduledUnits() {
        return scheduledUnits;
    }

    /** Returns when the share of the rate was last accrued. */
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

    /**
     * Schedules a leased unit to become a credit at this time. Units must be scheduled in the order of their due times.
     */
    void schedule(double dueAt) {
        dueTimes.add(dueAt);
        scheduledUnits++;
    }

    /** Turns leased units that have fallen due into credits. */
    void collectDue(double now) {
        while (scheduledUnits > 0 && dueTimes.peek() <= now + DUE_TOLERANCE_MS) {
            dueTimes.poll();
            scheduledUnits--;
            credits++;
        }
    }

    /** Adds units of the gateway's share of the rate, as far as credits do not exceed a bound. */
    void accrue(double units, double maxCredits) {
        double accrued = Math.max(0, Math.min(maxCredits - credits, units));
        credits += accrued;
        if (!local) {
            unreported += accrued;
        }
    }

    /** Deducts credits that are returned to the counter. */
    void deduct(double units) {
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
