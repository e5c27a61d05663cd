package quotagateway.policy.quota;

/**
 * One customer's totals on the shared counter. The customer has one exchange at a time that the quota waits for: a
 * claim of units, a carry-over or a try for a slot. Other calls (returns, corrections) go out beside it.
 */
final class CustomerCounter {
    private final CustomerQuota quota;
    private final long holderKey;
    private final CounterCalls calls;
    private boolean exchangeOpen;
    private double nextExchangeAt;

    CustomerCounter(CustomerQuota quota, long holderKey, CounterCalls calls) {
        this.quota = quota;
        this.holderKey = holderKey;
        this.calls = calls;
    }

    /** Whether a call may be made now, by any customer. */
    boolean mayCall() {
        return calls.mayCall();
    }

    /** Whether a reply is waited for. */
    boolean isExchangeOpen() {
        return exchangeOpen;
    }

    /** Whether this customer may begin an exchange now, as far as it goes by its last one. */
    boolean isReadyForExchange(double now) {
        return !exchangeOpen && now >= nextExchangeAt;
    }

    void beginExchange() {
        exchangeOpen = true;
    }

    void endExchange() {
        exchangeOpen = false;
    }

    /** The next exchange has to wait until this time. */
    void deferExchangeUntil(double time) {
        nextExchangeAt = time;
    }

    void addUnits(long epoch, double amount, CounterReplyHandler handler) {
        calls.add(
                CounterEpoch.unitsName(holderKey, epoch),
                amount,
                CounterEpoch.KEPT_EPOCHS * CounterEpoch.LENGTH_MS,
                quota,
                handler);
    }

    void addToOpenCount(long epoch, double amount, CounterReplyHandler handler) {
        calls.add(
                CounterEpoch.openCountName(holderKey, epoch),
                amount,
                CounterEpoch.KEPT_EPOCHS * CounterEpoch.OPEN_COUNT_LENGTH_MS,
                quota,
                handler);
    }
}
