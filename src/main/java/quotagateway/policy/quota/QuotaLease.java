package quotagateway.policy.quota;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.timer.ResplitSchedule;

/**
 * Leases units of one customer's quota from the shared counter. The counter holds a running total of what all gateways
 * have claimed; what the quota has filled so far less that total is what is left. A claim adds its units, learns from
 * the reply what all others had added before it, keeps what is covered and returns the rest. This is the design page's
 * re-split by weight on the counter, with the total itself as the sum of weights.
 */
final class QuotaLease {
    /** Where the last reading left nothing it is taken again after this: others may have returned some since. */
    private static final double REREAD_AFTER_MS = 2 * ResplitSchedule.PERIOD_MS;
    /** Rounding down leaves out no unit that lacks only this. */
    private static final double ROUNDING = 1e-6;

    private final QuotaHolder holder;
    private final QuotaContext context;
    private final QuotaDemand demand;
    private final CustomerCounter counter;
    private final CreditBalance balance;
    private final StoreEstimate estimate;
    private final ShareCalculator share;
    private final GrantEstimator grants;
    private final DriftDetector drift;
    private final Claim claim = new Claim();

    /** The last claim and what the total lacks. */
    private static final class Claim {
        /** Units that were claimed. */
        private double units;
        /** Units that were added for it: also those that the total lacked. */
        private double added;
        /** The epoch of the total. */
        private long epoch;
        /** The epoch that the total was last carried over to. */
        private long carriedToEpoch = Long.MIN_VALUE;
        /** What was spent and not added to the total yet, or, below 0, is still to be taken off it. */
        private double owedToTotal;
    }

    QuotaLease(
            QuotaHolder holder,
            QuotaContext context,
            QuotaDemand demand,
            CustomerCounter counter,
            CreditBalance balance,
            StoreEstimate estimate,
            ShareCalculator share,
            GrantEstimator grants) {
        this.holder = holder;
        this.context = context;
        this.demand = demand;
        this.counter = counter;
        this.balance = balance;
        this.estimate = estimate;
        this.share = share;
        this.grants = grants;
        drift = new DriftDetector(holder, context);
    }

    /** Units were spent that the total does not hold, or, below 0, fewer than it holds. Told with the next claim. */
    void owe(double units) {
        claim.owedToTotal += units;
    }

    /** Whether the last reading is worth taking again: later where the set of gateways is large and calls are few. */
    boolean isRereadDue() {
        double calls = Math.max(1, context.calls().windowSize());
        return context.now() >= estimate.updatedAt() + REREAD_AFTER_MS * Math.max(1, holder.gatewayCount() / calls);
    }

    /** Whether any total of this customer was read so far. */
    boolean hasReadAny() {
        return drift.hasReadAny();
    }

    /** Claims so many units, or as many as can be there in time, if a call may be made. */
    void claim(double units) {
        double now = context.now();
        if (!counter.isReadyForExchange(now) || holder.plan().rate() <= 0 || !counter.mayCall()) {
            return;
        }
        double available = claimableUnits(now);
        if (available < 1) {
            return; // whatever the others do, all of it would be returned
        }
        counter.beginExchange();
        long epoch = CounterEpoch.at(now);
        if (drift.wasLastReadIn(epoch - 1) && claim.carriedToEpoch < epoch) {
            claim.carriedToEpoch = epoch;
            counter.addUnits(epoch - 1, 0, this::onCarryOverReply);
            return;
        }
        claim.units = Math.min(units, available);
        claim.added = claim.units + claim.owedToTotal;
        claim.owedToTotal = 0;
        claim.epoch = epoch;
        counter.addUnits(epoch, claim.added, this::onClaimReply);
    }

    /** By the last reading, what is there until the last waiting request is of no use any more. */
    private double claimableUnits(double now) {
        double wait = demand.isEmpty() ? 0 : Math.max(0, demand.lastLatestStart() - now);
        double available = Math.floor(estimate.unboundedAfter(now - estimate.updatedAt() + wait));
        if (isRereadDue()) {
            available = Math.max(available, demand.isEmpty() ? 0 : demand.firstUnits());
        }
        return available;
    }

    /** Returns up to so many unspent units; those that were never reported are not returned. */
    void giveBack(double units) {
        double surplus = Math.min(Math.floor(units), Math.floor(balance.credits() - balance.unreported()));
        if (surplus >= 1) {
            balance.giveBack(surplus);
            returnUnits(CounterEpoch.at(context.now()), surplus);
        }
    }

    private void returnUnits(long epoch, double units) {
        double amount = -units;
        counter.addUnits(epoch, amount, (outcome, total) -> {
            if (wasNotAdded(outcome)) {
                owe(amount);
            }
        });
    }

    /** Of calls on a connection that broke most were not added: taken as added, a tenth went beyond the quotas. */
    private static boolean wasNotAdded(CallOutcome outcome) {
        return outcome.provesNotExecuted || outcome == CallOutcome.RESET;
    }

    // ---- the reply to a claim ----

    private void onClaimReply(CallOutcome outcome, double total) {
        counter.endExchange();
        if (outcome != CallOutcome.OK) {
            // a late call is added all the same, as a crowded counter serves those too
            owe(wasNotAdded(outcome) ? claim.added - claim.units : -claim.units);
            counter.deferExchangeUntil(context.schedule().nextAfter(context.now()));
            return;
        }
        double now = context.now();
        drift.noteTotal(claim.epoch, total - claim.added);
        double reading = filledSince(claim.epoch) - (total - claim.units);
        double maximum = drift.isTotalSuspect()
                ? Math.min(estimate.atMost(now), estimate.expected(now))
                : holder.plan().burst();
        DriftDetector.Drift found = drift.assess(reading, maximum, now);
        if (found.toBeCorrected()) {
            correct(claim.epoch, found.units());
        }
        boolean unconfirmedLoss = found.isUnconfirmedLoss();
        double available = unconfirmedLoss ? drift.lowestLevel() : found.removeFrom(reading);
        double granted = grant(available, now);
        double totalAfterReturn = total + granted - claim.units;
        updateShare(granted, totalAfterReturn, now);
        drift.setLastTotal(claim.epoch, totalAfterReturn + (found.toBeCorrected() ? found.units() : 0));
        estimate.onReading(unconfirmedLoss ? 0 : available - granted, now);
        grants.recordClaim(granted / claim.units);
        if (granted < claim.units) {
            counter.deferExchangeUntil(context.schedule().nextAfter(now));
            returnUnits(claim.epoch, claim.units - granted);
        }
    }

    /** What the quota has filled under the name of an epoch: a burst at its start, and the rate since. */
    private double filledSince(long epoch) {
        return holder.plan().burst() + holder.plan().rate() * (context.now() - CounterEpoch.startOf(epoch)) / 1000;
    }

    /**
     * Keeps what of the claim is available, now or in time for the requests that wait.
     *
     * @return how many units were granted, those that fall due later included
     */
    private double grant(double available, double now) {
        double rate = holder.unitsPerMs();
        double wait = demand.isEmpty() ? 0 : demand.lastLatestStart() - now;
        double granted = Math.floor(Math.max(0, Math.min(claim.units, available + rate * wait)) + ROUNDING);
        double ready = Math.floor(Math.max(0, Math.min(granted, available)) + ROUNDING);
        balance.add(ready);
        for (double unit = ready + 1; unit <= granted; unit++) {
            double dueAt = now + (unit - available) / rate;
            balance.schedule(dueAt);
            context.timers().scheduleWakeUp(dueAt);
        }
        return granted;
    }

    /** Between two readings under one name it is known what all gateways have taken. */
    private void updateShare(double granted, double totalAfterReturn, double now) {
        if (drift.wasLastReadIn(claim.epoch)) {
            double own = granted + claim.added - claim.units;
            share.record(Math.max(0, own), totalAfterReturn - drift.lastTotal(), estimate.updatedAt(), now);
        }
    }

    // ---- other replies ----

    /** Two gateways may correct the same excess: the later one sees it taken off twice and takes its own back. */
    private void correct(long epoch, double units) {
        counter.addUnits(epoch, units, (outcome, total) -> {
            boolean correctedTwice = filledSince(epoch) - total < Math.max(0, estimate.lastAtMost()) - units / 2;
            if (outcome == CallOutcome.OK && units > 0 && correctedTwice) {
                returnUnits(epoch, units);
            }
        });
    }

    /** A new name starts at 0, whatever is left: the total of the old one tells what others have taken. */
    private void onCarryOverReply(CallOutcome outcome, double total) {
        counter.endExchange();
        if (outcome == CallOutcome.OK) {
            double left = filledSince(claim.carriedToEpoch - 1) - total - claim.owedToTotal;
            double now = context.now();
            estimate.onReading(Math.min(left, estimate.atMost(now)), now);
        }
    }
}
