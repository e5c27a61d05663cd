package quotagateway.policy.quota;

import java.util.ArrayDeque;
import quotagateway.policy.api.CallOutcome;

/**
 * The bound on requests that one customer may have open at once, over all gateways: each open request holds a slot,
 * which is taken by adding 1 to a count on the shared counter. A slot that is free here is used again by the next
 * request, and returned when none waits.
 */
final class ConcurrencyQuota {
    /** A try that found all slots taken is repeated after this: a few of the shortest ticks. */
    private static final double RETRY_DELAY_MS = 25;

    private final QuotaHolder holder;
    private final QuotaContext context;
    private final QuotaDemand demand;
    private final CustomerCounter counter;
    private final GrantEstimator grants;
    /** For each slot the epoch of the count that it was taken from, and has to be returned to. */
    private final ArrayDeque<Long> slotEpochs = new ArrayDeque<>(1);

    private long triedEpoch;

    ConcurrencyQuota(
            QuotaHolder holder,
            QuotaContext context,
            QuotaDemand demand,
            CustomerCounter counter,
            GrantEstimator grants) {
        this.holder = holder;
        this.context = context;
        this.demand = demand;
        this.counter = counter;
        this.grants = grants;
    }

    /** Whether one more request may be opened now; if not, a slot is asked for where that is possible. */
    boolean allowsAnother() {
        int limit = holder.plan().concurrencyLimit();
        int open = demand.attemptsInFlight();
        if (open < slotEpochs.size()) {
            return true;
        }
        if (holder.local() || !counter.mayCall()) {
            // the even part; where that is under one, one at a time while the last counts left something
            return open < limit / holder.gatewayCount() || (open == 0 && grants.paysToAdmitUnasked());
        }
        double now = context.now();
        if (counter.isReadyForExchange(now)) {
            counter.beginExchange();
            triedEpoch = CounterEpoch.openCountAt(now);
            counter.addToOpenCount(triedEpoch, 1, this::onTryReply);
        }
        return false;
    }

    private void onTryReply(CallOutcome outcome, double total) {
        counter.endExchange();
        if (outcome != CallOutcome.OK) {
            return;
        }
        boolean granted = total <= holder.plan().concurrencyLimit();
        grants.recordSlot(granted);
        if (granted) {
            slotEpochs.add(triedEpoch);
        } else {
            returnSlot(triedEpoch);
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

    /** A return that is lost is forgotten with its epoch. */
    private void returnSlot(long epoch) {
        counter.addToOpenCount(epoch, -1, (outcome, total) -> {});
    }

    boolean holdsNoSlot() {
        return slotEpochs.isEmpty();
    }
}
