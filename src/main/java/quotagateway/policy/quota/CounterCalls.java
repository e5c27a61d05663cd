package quotagateway.policy.quota;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.timer.EventClock;

/**
 * Makes this gateway's calls to the shared counter, decides whether a call may be made, and passes each reply to the
 * handler of its call. The counter replies to the calls of one name in their order.
 */
public final class CounterCalls {
    private record PendingCall(CustomerQuota quota, CounterReplyHandler handler) {}

    private final PolicyActions actions;
    private final EventClock clock;
    private final CounterCallWindow window;
    private final CounterCircuitBreaker breaker = new CounterCircuitBreaker();
    private final FifoMultimap<Long, PendingCall> pending = new FifoMultimap<>();

    public CounterCalls(PolicyActions actions, EventClock clock, CounterCallWindow window) {
        this.actions = actions;
        this.clock = clock;
        this.window = window;
    }

    /** Returns whether a call may be made now. */
    boolean mayCall() {
        return !isSuspended() && (breaker.isProbing() ? window.hasRoomForProbe() : window.hasRoom());
    }

    /**
     * Returns whether calls are suspended because the counter does not respond; quotas then use the last known values.
     */
    boolean isSuspended() {
        return breaker.isOpen(clock.now());
    }

    /** Returns when the current or the last suspension of calls began. */
    double suspendedSince() {
        return breaker.openSince();
    }

    /** Returns how many calls may be in flight; below 1 if there are pauses between them. */
    double windowSize() {
        return window.window();
    }

    /** Adds to a total regardless of {@link #mayCall}, as returns of units must not wait. */
    void add(long name, double amount, double ttlMs, CustomerQuota quota, CounterReplyHandler handler) {
        window.onCall();
        pending.add(name, new PendingCall(quota, handler));
        actions.addToCounter(name, amount, ttlMs);
    }

    /** Handles the end of a call. Returns the quota that made the call, or null if no such call was made. */
    public CustomerQuota onReply(long name, CallOutcome outcome, double tookMs, double total) {
        PendingCall call = pending.poll(name);
        if (call == null) {
            return null;
        }
        window.onReply(outcome, tookMs);
        breaker.onReply(outcome, clock.now());
        call.handler.onReply(outcome, total);
        return call.quota;
    }
}
