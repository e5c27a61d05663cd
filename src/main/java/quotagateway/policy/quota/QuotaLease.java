package quotagateway.policy.quota;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.timer.ResplitSchedule;

/**
 * Leases units of one customer's quota from the shared counter. The counter holds a running total of the units that all
 * gateways have claimed; the units that the quota has accrued so far, less that total, are left. A claim adds its units
 * to the total, learns from the reply what all other gateways had added before, keeps the units that are covered and
 * returns the rest. The quota is thus split by weight, with the claims as weights and the total as their sum.
 */
final class QuotaLease {
    /** A reading that left no units is repeated after this time, as other gateways may have returned some. */
    private static final double REREAD_INTERVAL_MS = 2 * ResplitSchedule.PERIOD_MS;
    /** Tolerance for rounding errors (units): a unit that is short by less is not rounded away. */
    private static final double ROUNDING = 1e-6;

    private final QuotaScope scope;
    private final QuotaContext context;
    private final QuotaDemand demand;
    private final CustomerCounter counter;
    private final CreditBalance balance;
    private final BucketLevelEstimate estimate;
    private final ShareCalculator share;
    private final GrantEstimator grants;
    private final DriftDetector driftDetector;
    private final Claim claim = new Claim();

    /** The last claim, and the adjustment that the total still needs. */
    private static final class Claim {
        /** Units that were claimed. */
        private double units;
        /** Units that the claim added to the total, including the pending adjustment. */
        private double added;
        /** The epoch of the total that the units were claimed from. */
        private long epoch;
        /** The epoch that the level was last carried over to. */
        private long carriedToEpoch = Long.MIN_VALUE;
        /**
         * Units that were spent and not added to the total yet, or, if negative, are still to be subtracted from it.
         */
        private double pendingAdjustment;
    }

    QuotaLease(
            QuotaScope scope,
            QuotaContext context,
            QuotaDemand demand,
            CustomerCounter counter,
            CreditBalance balance,
            BucketLevelEstimate estimate,
            ShareCalculator share,
            GrantEstimator grants) {
        this.scope = scope;
        this.context = context;
        this.demand = demand;
        this.counter = counter;
        this.balance = balance;
        this.estimate = estimate;
        this.share = share;
        this.grants = grants;
        driftDetector = new DriftDetector(scope, context);
    }

    /**
     * Adds units to the total with the next claim: spent units that the total does not contain, or, if negative, units
     * that it contains and that were not spent.
     */
    void adjustWithNextClaim(double units) {
        claim.pendingAdjustment += units;
    }

    /** Returns whether the last reading is to be repeated: later if many gateways share the quota and calls are few. */
    boolean isRereadDue() {
        double calls = Math.max(1, context.calls().windowSize());
        return context.now() >= estimate.updatedAt() + REREAD_INTERVAL_MS * Math.max(1, scope.gatewayCount() / calls);
    }

    /** Returns whether any total of this customer was read so far. */
    boolean hasReadAny() {
        return driftDetector.hasReadAny();
    }

    /** Claims this many units, or as many as can be available in time, if a call may be made. */
    void claim(double units) {
        double now = context.now();
        if (!counter.isReadyForExchange(now) || scope.plan().rate() <= 0 || !counter.mayCall()) {
            return;
        }
        double available = claimableUnits(now);
        if (available < 1) {
            return; // even if no other gateway takes any, all units would be returned
        }
        counter.beginExchange();
        long epoch = CounterEpoch.unitsEpochAt(now);
        if (driftDetector.wasLastReadIn(epoch - 1) && claim.carriedToEpoch < epoch) {
            claim.carriedToEpoch = epoch;
            counter.addUnits(epoch - 1, 0, this::onCarryOverReply);
            return;
        }
        claim.units = Math.min(units, available);
        claim.added = claim.units + claim.pendingAdjustment;
        claim.pendingAdjustment = 0;
        claim.epoch = epoch;
        counter.addUnits(epoch, claim.added, this::onClaimReply);
    }

    /**
     * Returns the units that, by the last reading, are available before the latest start of all waiting requests. If
     * the reading is to be repeated, these are at least the units of the next request.
     */
    private double claimableUnits(double now) {
        double wait = demand.isEmpty() ? 0 : Math.max(0, demand.maxLatestStart() - now);
        double available = Math.floor(estimate.uncappedLevelAfter(now - estimate.updatedAt() + wait));
        if (isRereadDue()) {
            available = Math.max(available, demand.isEmpty() ? 0 : demand.firstUnits());
        }
        return available;
    }

    /** Returns up to this many unspent units to the counter, except those that were never reported to it. */
    void returnSurplus(double units) {
        double surplus = Math.min(Math.floor(units), Math.floor(balance.credits() - balance.unreported()));
        if (surplus >= 1) {
            balance.deduct(surplus);
            returnUnits(CounterEpoch.unitsEpochAt(context.now()), surplus);
        }
    }

    private void returnUnits(long epoch, double units) {
        double amount = -units;
        counter.addUnits(epoch, amount, (outcome, total) -> {
            if (wasNotAdded(outcome)) {
                adjustWithNextClaim(amount);
            }
        });
    }

    /**
     * Returns whether the call is treated as not added. This includes calls on a connection that was reset, most of
     * which were not added: when they were treated as added, a tenth of the traffic exceeded the quotas.
     */
    private static boolean wasNotAdded(CallOutcome outcome) {
        return outcome.provesNotExecuted || outcome == CallOutcome.RESET;
    }

    // ---- the reply to a claim ----

    private void onClaimReply(CallOutcome outcome, double total) {
        counter.endExchange();
        if (outcome != CallOutcome.OK) {
            // a call that timed out is added nevertheless, as an overloaded counter serves late calls too
            adjustWithNextClaim(wasNotAdded(outcome) ? claim.added - claim.units : -claim.units);
            counter.deferExchangeUntil(context.schedule().nextAfter(context.now()));
            return;
        }
        double now = context.now();
        driftDetector.onTotalRead(claim.epoch, total - claim.added);
        double reading = accruedInEpoch(claim.epoch) - (total - claim.units);
        double maximum = driftDetector.isTotalSuspect()
                ? Math.min(estimate.upperBound(now), estimate.expected(now))
                : scope.plan().burst();
        DriftDetector.Drift drift = driftDetector.assess(reading, maximum, now);
        if (drift.toBeCorrected()) {
            correct(claim.epoch, drift.units());
        }
        boolean unconfirmedLoss = drift.isUnconfirmedLoss();
        double available = unconfirmedLoss ? driftDetector.lowestLevel() : drift.removeFrom(reading);
        double granted = grant(available, now);
        double totalAfterReturn = total + granted - claim.units;
        updateShare(granted, totalAfterReturn, now);
        driftDetector.setLastTotal(claim.epoch, totalAfterReturn + (drift.toBeCorrected() ? drift.units() : 0));
        estimate.onReading(unconfirmedLoss ? 0 : available - granted, now);
        grants.recordClaimReply(granted / claim.units);
        if (granted < claim.units) {
            counter.deferExchangeUntil(context.schedule().nextAfter(now));
            returnUnits(claim.epoch, claim.units - granted);
        }
    }

    /**
     * Returns the units that the quota has accrued for the total of an epoch: a burst at its start, and the rate since.
     */
    private double accruedInEpoch(long epoch) {
        return scope.plan().burst() + scope.plan().rate() * (context.now() - CounterEpoch.startOf(epoch)) / 1000;
    }

    /**
     * Keeps the claimed units that are available now or in time for the waiting requests.
     *
     * @return how many units were granted, including those that fall due later
     */
    private double grant(double available, double now) {
        double rate = scope.unitsPerMs();
        double wait = demand.isEmpty() ? 0 : demand.maxLatestStart() - now;
        double granted = Math.floor(Math.max(0, Math.min(claim.units, available + rate * wait)) + ROUNDING);
        double grantedNow = Math.floor(Math.max(0, Math.min(granted, available)) + ROUNDING);
        balance.add(grantedNow);
        for (double unit = grantedNow + 1; unit <= granted; unit++) {
            double dueAt = now + (unit - available) / rate;
            balance.schedule(dueAt);
            context.timers().scheduleWakeUp(dueAt);
        }
        return granted;
    }

    /**
     * Updates the share if the last two readings are of the same total: only these show what all gateways have taken.
     */
    private void updateShare(double granted, double totalAfterReturn, double now) {
        if (driftDetector.wasLastReadIn(claim.epoch)) {
            double own = granted + claim.added - claim.units;
            share.record(Math.max(0, own), totalAfterReturn - driftDetector.lastTotal(), estimate.updatedAt(), now);
        }
    }

    // ---- other replies ----

    /**
     * Adds a correction to the total. Two gateways may correct the same excess: the later one sees from the reply that
     * the excess was removed twice, and reverts its own correction.
     */
    private void correct(long epoch, double units) {
        counter.addUnits(epoch, units, (outcome, total) -> {
            boolean correctedTwice = accruedInEpoch(epoch) - total < Math.max(0, estimate.lastUpperBound()) - units / 2;
            if (outcome == CallOutcome.OK && units > 0 && correctedTwice) {
                returnUnits(epoch, units);
            }
        });
    }

    /**
     * Takes over the level from the total of the previous epoch. The total of a new epoch starts at 0 regardless of the
     * level, so only the previous one shows what other gateways have taken.
     */
    private void onCarryOverReply(CallOutcome outcome, double total) {
        counter.endExchange();
        if (outcome == CallOutcome.OK) {
            double left = accruedInEpoch(claim.carriedToEpoch - 1) - total - claim.pendingAdjustment;
            double now = context.now();
            estimate.onReading(Math.min(left, estimate.upperBound(now)), now);
        }
    }
}
