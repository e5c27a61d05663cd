package quotagateway.policy.quota;

import quotagateway.policy.api.QuotaPlan;

/**
 * The quota of one customer on one plan, as this gateway sees it: decides whether a request may pass, and ties together
 * the lease of units from the shared counter, the bound on open requests and the hard limit. Where there is no counter,
 * or no other gateway, or the counter is silent, this gateway's share of the rate is given out without asking.
 */
public final class CustomerQuota {
    /** Units that a claim lacks only by rounding are not claimed. */
    private static final double ROUNDING = 1e-6;
    /** A reading says what others do for about this time. */
    private static final double READING_RELEVANT_MS = 4000;
    /** Without a call a request passes only with this part of the burst left; half is left to gateways alike. */
    private static final double UNASKED_PART_OF_BURST = 1.0 / 2;
    /** With this part of the burst left, a request that is hardly of use takes nothing from others. */
    private static final double PLENTY_PART_OF_BURST = 1.0 / 2;

    private final QuotaHolder holder;
    private final QuotaContext context;
    private final QuotaDemand demand;
    private final CreditBalance balance;
    private final DemandEstimator usualDemand = new DemandEstimator();
    private final CustomerCounter counter;
    private final ShareCalculator share;
    private final StoreEstimate estimate;
    private final QuotaLease lease;
    private final GrantEstimator grants;
    /** Null on plans that do not bound them. */
    private final ConcurrencyQuota openRequests;

    private final HardLimit hardLimit;

    /**
     * Makes the quota of a customer that has come up.
     *
     * @param name of customer and plan together, which all gateways use
     * @param gatewayCount how many gateways share the customer
     * @param position which of them this gateway is
     */
    public CustomerQuota(
            String name, QuotaPlan plan, int gatewayCount, int position, QuotaContext context, QuotaDemand demand) {
        this.context = context;
        this.demand = demand;
        double now = context.now();
        boolean sharedCounter = context.settings().capabilities().sharedCounter();
        holder = QuotaHolder.of(name, plan, gatewayCount, position, sharedCounter);
        counter = new CustomerCounter(this, holder.key(), context.calls());
        balance = new CreditBalance(
                holder.local(), holder.local() ? Math.floor(plan.burst() / holder.gatewayCount()) : 0, now);
        share = new ShareCalculator(holder, now);
        estimate = new StoreEstimate(holder, share, now);
        grants = new GrantEstimator(plan, context.limiter(), context.traffic(), context.usualGrant());
        lease = new QuotaLease(holder, context, demand, counter, balance, estimate, share, grants);
        openRequests =
                plan.concurrencyLimit() > 0 ? new ConcurrencyQuota(holder, context, demand, counter, grants) : null;
        hardLimit = HardLimit.of(holder, now);
    }

    // ---- admission ----

    /** A request has come that asks for so many units. */
    public void onRequest(int units) {
        usualDemand.onRequest(units);
    }

    /** Whether the request may be sent now; if not, what it lacks is asked for where that is possible. */
    public boolean admits(QuotaRequest request) {
        accrue();
        if (holder.plan().rate() > 0 && balance.credits() < request.units()) {
            if (counter.isExchangeOpen()) {
                return false; // what is missing is being asked for
            }
            claimFor(request);
            if (!admitsUnasked(request)) {
                return false;
            }
        }
        return hardLimit.allows(request.units(), context.now())
                && (openRequests == null || openRequests.allowsAnother());
    }

    /** Claims what all waiting requests lack, unless the last reading leaves nothing in time. */
    private void claimFor(QuotaRequest request) {
        double now = context.now();
        double lacking = Math.ceil(demand.queuedUnits() - balance.credits() - balance.scheduledUnits() - ROUNDING);
        double known = estimate.unboundedAfter(now - estimate.updatedAt() + request.latestStart() - now);
        if (lacking > 0 && (known >= request.units() || lease.isRereadDue())) {
            claim(lacking);
        }
    }

    private void claim(double units) {
        if (!holder.local()) {
            lease.claim(units);
        }
    }

    /**
     * Whether the request may pass without the counter being asked, as no call is to be had: by what was last read, or
     * after half of its wait by what is usual.
     */
    private boolean admitsUnasked(QuotaRequest request) {
        if (holder.local()
                || counter.isExchangeOpen()
                || counter.mayCall()
                || hardLimit.exists()
                || request.isClientRetry()
                || !grants.paysToAdmitUnasked()) {
            return false;
        }
        double now = context.now();
        double needed = Math.max(request.units(), holder.plan().burst() * UNASKED_PART_OF_BURST);
        boolean readLately = lease.hasReadAny() && now < estimate.updatedAt() + READING_RELEVANT_MS;
        return estimate.spendableUnasked(now) >= needed
                && (readLately || 2 * now >= request.arrivedAt() + request.latestStart());
    }

    /** A request was admitted: takes its units. */
    public void spend(int units) {
        double toReport = balance.spend(holder.plan().rate() > 0 ? units : 0);
        hardLimit.spend(units);
        if (toReport > 0) {
            lease.owe(toReport);
            estimate.onUnreportedSpending(toReport, context.now());
        }
    }

    /** A request has used so many units more than it was admitted with, or, below 0, fewer. */
    public void correctSpending(int units) {
        lease.owe(units);
    }

    /** Whether so much is left that a request which is hardly of use takes nothing from others. */
    public boolean hasPlenty() {
        double burst = holder.plan().burst();
        return holder.local()
                ? balance.credits() >= burst / holder.gatewayCount() * PLENTY_PART_OF_BURST
                : estimate.atMost(context.now()) >= burst * PLENTY_PART_OF_BURST;
    }

    /** Returns slots of open requests that no request holds or waits for. */
    public void returnUnusedSlots() {
        if (openRequests != null) {
            openRequests.returnUnusedSlots();
        }
    }

    /** Collects leased units that have fallen due and, where the counter is not asked, the share of the rate. */
    private void accrue() {
        double now = context.now();
        balance.collectDue(now);
        if (balance.isLocal() || context.calls().isSilent()) {
            double from = Math.max(
                    balance.accruedAt(), holder.local() ? 0 : context.calls().silentSince());
            double maxCredits =
                    Math.max(context.settings().maxUnits(), holder.plan().burst() * share.share());
            share.driftToEven(now - from);
            double units = holder.plan().rate() * share.share() * (now - from) / 1000;
            balance.accrue(units, maxCredits);
        }
        balance.setAccruedAt(now);
    }

    // ---- the re-split ----

    /**
     * A period ends: returns surplus units where a call may be made.
     *
     * @return whether units are short instead, and should be claimed ahead of the requests to come
     */
    boolean resplit() {
        usualDemand.endPeriod();
        accrue();
        double shortage = shortage();
        if (shortage <= -1
                && !counter.isExchangeOpen()
                && counter.mayCall()
                && !holder.local()
                && holder.plan().rate() > 0) {
            lease.giveBack(-shortage);
        }
        return shortage >= 1;
    }

    /** Units that wait or usually come in a period, and are not covered. */
    private double shortage() {
        return Math.floor(usualDemand.unitsPerPeriod())
                + demand.queuedUnits()
                - balance.credits()
                - balance.scheduledUnits();
    }

    /** Claims units ahead of the requests to come, where most of what is claimed is granted. */
    void claimAhead() {
        accrue();
        double shortage = shortage();
        if (shortage >= 1 && usualDemand.unitsPerPeriod() >= 1 && grants.isMostlyGranted()) {
            claim(shortage);
        }
    }

    /** Whether nothing waits, is open or is expected. */
    boolean isIdle() {
        return usualDemand.isIdle()
                && demand.isEmpty()
                && demand.attemptsInFlight() == 0
                && !counter.isExchangeOpen()
                && (openRequests == null || openRequests.holdsNoSlot());
    }
}
