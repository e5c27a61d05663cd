package quotagateway.policy.quota;

import java.util.ArrayDeque;
import quotagateway.policy.api.CallOutcome;

/**
 * Bounds the requests that one customer may have open at the same time over all gateways. Each open request holds a
 * slot, which is taken by adding 1 to a count on the shared counter. A slot that becomes free on this gateway is reused
 * for the next request, and returned to the counter if no request waits.
 */
final class ConcurrencyQuota {
    /** Delay after which a slot is requested again if all were taken: a few of the shortest timer ticks. */
    private static final double RETRY_DELAY_MS = 25;

    private final QuotaScope scope;
    private final QuotaContext context;
    private final QuotaDemand demand;
    private final CustomerCounter counter;
    private final GrantEstimator grants;
    /** For each slot held, the epoch of the count from which it was taken and to which it has to be returned. */
    private final ArrayDeque<Long> slotEpochs = new ArrayDeque<>(1);

    private long requestedEpoch;

    ConcurrencyQuota(
            QuotaScope scope,
            QuotaContext context,
            QuotaDemand demand,
            CustomerCounter counter,
            GrantEstimator grants) {
        this.scope = scope;
        this.context = context;
        this.demand = demand;
        this.counter = counter;
        this.grants = grants;
    }

    /** Returns whether another request may be opened now; if not, requests a slot where a counter call is possible. */
    boolean allowsAnother() {
        int limit = scope.plan().concurrencyLimit();
        int open = demand.attemptsInFlight();
        if (open < slotEpochs.size()) {
            return true;
        }
        if (scope.local() || !counter.mayCall()) {
            // the even share; if it is below 1, one request at a time while the last counts left free slots
            return open < limit / scope.gatewayCount() || (open == 0 && grants.isWorthAdmittingWithoutCounter());
        }
        double now = context.now();
        if (counter.isReadyForExchange(now)) {
            counter.beginExchange();
            requestedEpoch = CounterEpoch.openCountEpochAt(now);
            counter.addToOpenCount(requestedEpoch, 1, this::onSlotReply);
        }
        return false;
    }

    private void onSlotReply(CallOutcome outcome, double total) {
        counter.endExchange();
        if (outcome != CallOutcome.OK) {
            return;
        }
        boolean granted = total <= scope.plan().concurrencyLimit();
        grants.recordSlotReply(granted);
        if (granted) {
            slotEpochs.add(requestedEpoch);
        } else {
            returnSlot(requestedEpoch);
            double retryAt = context.now() + RETRY_DELAY_MS;
            counter.deferExchangeUntil(retryAt);
            context.timers().scheduleWakeUp(retryAt);
        }
    }

    /** Returns slots that no request holds or waits for. */
    void returnUnusedSlots() {
        while (slotEpochs.size() > demand.attemptsInFlight() && demand.isEmpty()) {
            returnSlot(slotEpochs.poll());
        }
    }

    /** Returns a slot to its count. If the call is lost, the slot becomes free when the epoch of the count ends. */
    private void returnSlot(long epoch) {
        counter.addToOpenCount(epoch, -1, (outcome, total) -> {});
    }

    boolean holdsNoSlot() {
        return slotEpochs.isEmpty();
    }
}
