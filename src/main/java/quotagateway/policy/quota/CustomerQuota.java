package quotagateway.policy.quota;

import quotagateway.policy.api.QuotaPlan;

/**
 * The quota of one customer on one plan, as this gateway sees it: decides whether a request may be admitted, and
 * combines the lease of units from the shared counter, the bound on open requests and the hard limit. If there is no
 * counter or no other gateway, or the counter does not respond, this gateway admits by its share of the rate.
 */
public final class CustomerQuota {
    /** Tolerance for rounding errors (units): a shortage below it is not claimed. */
    private static final double ROUNDING = 1e-6;
    /** How long a reading of the counter indicates what other gateways take. */
    private static final double READING_VALIDITY_MS = 4000;
    /**
     * A request is admitted without a counter call only if at least this fraction of the burst is left; this half is a
     * reserve for other gateways that do the same.
     */
    private static final double MIN_BURST_FRACTION_WITHOUT_COUNTER = 1.0 / 2;
    /** With this fraction of the burst left, a request of little use takes no units from other requests. */
    private static final double AMPLE_BURST_FRACTION = 1.0 / 2;

    private final QuotaScope scope;
    private final QuotaContext context;
    private final QuotaDemand demand;
    private final CreditBalance balance;
    private final DemandEstimator demandEstimator = new DemandEstimator();
    private final CustomerCounter counter;
    private final ShareCalculator share;
    private final BucketLevelEstimate estimate;
    private final QuotaLease lease;
    private final GrantEstimator grants;
    /** The bound on open requests; null on plans without one. */
    private final ConcurrencyQuota concurrencyQuota;

    private final HardLimit hardLimit;

    /**
     * Creates the quota of a customer on a plan. This happens when a request arrives and there is no such quota: it is
     * the first request, or the quota was evicted because the customer was idle.
     *
     * @param name identifies customer and plan together, identically on all gateways
     * @param gatewayCount number of gateways that receive the customer's requests and share this quota
     * @param position the index of this gateway among these gateways, from 0
     */
    public CustomerQuota(
            String name, QuotaPlan plan, int gatewayCount, int position, QuotaContext context, QuotaDemand demand) {
        this.context = context;
        this.demand = demand;
        double now = context.now();
        boolean sharedCounter = context.settings().capabilities().sharedCounter();
        scope = QuotaScope.of(name, plan, gatewayCount, position, sharedCounter);
        counter = new CustomerCounter(this, scope.key(), context.calls());
        balance = new CreditBalance(
                scope.local(), scope.local() ? Math.floor(plan.burst() / scope.gatewayCount()) : 0, now);
        share = new ShareCalculator(scope, now);
        estimate = new BucketLevelEstimate(scope, share, now);
        grants = new GrantEstimator(plan, context.limiter(), context.traffic(), context.averageGrantRatio());
        lease = new QuotaLease(scope, context, demand, counter, balance, estimate, share, grants);
        concurrencyQuota =
                plan.concurrencyLimit() > 0 ? new ConcurrencyQuota(scope, context, demand, counter, grants) : null;
        hardLimit = HardLimit.of(scope, now);
    }

    // ---- admission ----

    /** Records the units of an arriving request for the estimate of demand. */
    public void onRequest(int units) {
        demandEstimator.onRequest(units);
    }

    /** Returns whether the request may be sent now; if not, claims what it lacks where a counter call is possible. */
    public boolean tryAdmit(QuotaRequest request) {
        accrue();
        if (scope.plan().rate() > 0 && balance.credits() < request.units()) {
            if (counter.isExchangeOpen()) {
                return false; // the reply may bring the missing units
            }
            claimFor(request);
            if (!mayAdmitWithoutCounter(request)) {
                return false;
            }
        }
        return hardLimit.allows(request.units(), context.now())
                && (concurrencyQuota == null || concurrencyQuota.allowsAnother());
    }

    /**
     * Claims the units that all waiting requests lack. Makes no claim while the last reading shows that too few units
     * for this request will be available before its latest start, until this reading is due to be repeated.
     */
    private void claimFor(QuotaRequest request) {
        double now = context.now();
        double missingUnits = Math.ceil(demand.queuedUnits() - balance.credits() - balance.scheduledUnits() - ROUNDING);
        double availableInTime = estimate.uncappedLevelAfter(now - estimate.updatedAt() + request.latestStart() - now);
        if (missingUnits > 0 && (availableInTime >= request.units() || lease.isRereadDue())) {
            claim(missingUnits);
        }
    }

    private void claim(double units) {
        if (!scope.local()) {
            lease.claim(units);
        }
    }

    /**
     * Returns whether the request may be admitted without a counter call, as none can be made now: based on a recent
     * reading, or, once half of the request's maximum wait is over, on the results of past claims.
     */
    private boolean mayAdmitWithoutCounter(QuotaRequest request) {
        if (scope.local()
                || counter.isExchangeOpen()
                || counter.mayCall()
                || hardLimit.exists()
                || request.isClientRetry()
                || !grants.isWorthAdmittingWithoutCounter()) {
            return false;
        }
        double now = context.now();
        double needed = Math.max(request.units(), scope.plan().burst() * MIN_BURST_FRACTION_WITHOUT_COUNTER);
        boolean hasRecentReading = lease.hasReadAny() && now < estimate.updatedAt() + READING_VALIDITY_MS;
        return estimate.spendableWithoutCounter(now) >= needed
                && (hasRecentReading || 2 * now >= request.arrivedAt() + request.latestStart());
    }

    /** Spends the units of a request that was admitted. */
    public void spend(int units) {
        double toReport = balance.spend(scope.plan().rate() > 0 ? units : 0);
        hardLimit.spend(units);
        if (toReport > 0) {
            lease.adjustWithNextClaim(toReport);
            estimate.onUnreportedSpending(toReport, context.now());
        }
    }

    /** Records that a request has used this many units more than it was admitted with, or, if negative, fewer. */
    public void correctSpending(int units) {
        lease.adjustWithNextClaim(units);
    }

    /** Returns whether enough units are left that a request of little use takes none from other requests. */
    public boolean hasAmpleQuota() {
        double burst = scope.plan().burst();
        return scope.local()
                ? balance.credits() >= burst / scope.gatewayCount() * AMPLE_BURST_FRACTION
                : estimate.upperBound(context.now()) >= burst * AMPLE_BURST_FRACTION;
    }

    /** Returns open-request slots to the counter that no request holds or waits for. */
    public void returnUnusedSlots() {
        if (concurrencyQuota != null) {
            concurrencyQuota.returnUnusedSlots();
        }
    }

    /**
     * Collects leased units that have fallen due and, where the counter is not called, this gateway's share of the
     * rate.
     */
    private void accrue() {
        double now = context.now();
        balance.collectDue(now);
        if (balance.isLocal() || context.calls().isSuspended()) {
            double from = Math.max(
                    balance.accruedAt(), scope.local() ? 0 : context.calls().suspendedSince());
            double maxCredits =
                    Math.max(context.settings().maxUnits(), scope.plan().burst() * share.share());
            share.convergeToEvenShare(now - from);
            double units = scope.plan().rate() * share.share() * (now - from) / 1000;
            balance.accrue(units, maxCredits);
        }
        balance.setAccruedAt(now);
    }

    // ---- the re-split ----

    /**
     * Ends a re-split period: returns surplus units to the counter if a call may be made.
     *
     * @return whether units are short instead and should be claimed ahead of the expected requests
     */
    boolean resplit() {
        demandEstimator.endPeriod();
        accrue();
        double shortage = shortage();
        if (shortage <= -1
                && !counter.isExchangeOpen()
                && counter.mayCall()
                && !scope.local()
                && scope.plan().rate() > 0) {
            lease.returnSurplus(-shortage);
        }
        return shortage >= 1;
    }

    /**
     * Returns the units of waiting requests and of a period's usual demand that are not covered; negative if in
     * surplus.
     */
    private double shortage() {
        return Math.floor(demandEstimator.unitsPerPeriod())
                + demand.queuedUnits()
                - balance.credits()
                - balance.scheduledUnits();
    }

    /** Claims units ahead of the expected requests, provided that most of what is claimed is granted. */
    void claimAhead() {
        accrue();
        double shortage = shortage();
        if (shortage >= 1 && demandEstimator.unitsPerPeriod() >= 1 && grants.isMostlyGranted()) {
            claim(shortage);
        }
    }

    /** Returns whether no request waits, is open or is expected, and no counter exchange is open. */
    boolean isIdle() {
        return demandEstimator.isIdle() && hasNothingOpen();
    }

    /** Returns whether no request waits or is open, and no counter exchange is open. */
    public boolean hasNothingOpen() {
        return demand.isEmpty()
                && demand.attemptsInFlight() == 0
                && !counter.isExchangeOpen()
                && (concurrencyQuota == null || concurrencyQuota.holdsNoSlot());
    }
}
