package quotagateway.policy.quota;

/**
 * One customer's totals on the shared counter. The quota waits for one exchange per customer at a time: a claim of
 * units, a carry-over or a request for a slot. Other calls (returns, corrections) are made in parallel.
 */
final class CustomerCounter {
    private final CustomerQuota quota;
    private final long quotaKey;
    private final CounterCalls calls;
    private boolean exchangeOpen;
    private double nextExchangeAt;

    CustomerCounter(CustomerQuota quota, long quotaKey, CounterCalls calls) {
        this.quota = quota;
        this.quotaKey = quotaKey;
        this.calls = calls;
    }

    /** Returns whether a call may be made now; this limit covers the calls of all customers. */
    boolean mayCall() {
        return calls.mayCall();
    }

    /** Returns whether an exchange waits for its reply. */
    boolean isExchangeOpen() {
        return exchangeOpen;
    }

    /** Returns whether this customer's last exchange allows it to begin another one now. */
    boolean isReadyForExchange(double now) {
        return !exchangeOpen && now >= nextExchangeAt;
    }

    void beginExchange() {
        exchangeOpen = true;
    }

    void endExchange() {
        exchangeOpen = false;
    }

    /** Delays the next exchange until this time. */
    void deferExchangeUntil(double time) {
        nextExchangeAt = time;
    }

    void addUnits(long epoch, double amount, CounterReplyHandler handler) {
        calls.add(
                CounterEpoch.unitsTotalName(quotaKey, epoch),
                amount,
                CounterEpoch.RETAINED_EPOCHS * CounterEpoch.LENGTH_MS,
                quota,
                handler);
    }

    void addToOpenCount(long epoch, double amount, CounterReplyHandler handler) {
        calls.add(
                CounterEpoch.openCountName(quotaKey, epoch),
                amount,
                CounterEpoch.RETAINED_EPOCHS * CounterEpoch.OPEN_COUNT_LENGTH_MS,
                quota,
                handler);
    }
}
