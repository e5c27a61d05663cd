package quotagateway.policy.quota;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.timer.EventClock;

/**
 * The calls of this gateway to the shared counter: whether one may be made, and who is told its reply. The counter
 * replies to the calls of one name in their order.
 */
public final class CounterCalls {
    private record PendingCall(CustomerQuota quota, CounterReplyHandler handler) {}

    private final PolicyActions actions;
    private final EventClock clock;
    private final CounterCallWindow window;
    private final CounterSilence silence = new CounterSilence();
    private final FifoMultimap<Long, PendingCall> pending = new FifoMultimap<>();

    public CounterCalls(PolicyActions actions, EventClock clock, CounterCallWindow window) {
        this.actions = actions;
        this.clock = clock;
        this.window = window;
    }

    /** Whether a call may be made now. */
    boolean mayCall() {
        return !isSilent() && (silence.isProbing() ? window.hasRoomForProbe() : window.hasRoom());
    }

    /** Whether the counter is away, so that quotas go by what was last known. */
    boolean isSilent() {
        return silence.isSilent(clock.now());
    }

    /** When the silence began. */
    double silentSince() {
        return silence.silentSince();
    }

    /** How many calls may be in flight, below 1 where there are pauses between them. */
    double windowSize() {
        return window.window();
    }

    /** Adds to a total, whether or not {@link #mayCall}: returns of units are not to wait. */
    void add(long name, double amount, double ttlMs, CustomerQuota quota, CounterReplyHandler handler) {
        window.onCall();
        pending.add(name, new PendingCall(quota, handler));
        actions.addToCounter(name, amount, ttlMs);
    }

    /** A call has ended; returns the quota that made it, or null where no such call was made. */
    public CustomerQuota onReply(long name, CallOutcome outcome, double tookMs, double total) {
        PendingCall call = pending.poll(name);
        if (call == null) {
            return null;
        }
        window.onReply(outcome, tookMs);
        silence.onReply(outcome, clock.now());
        call.handler.onReply(outcome, total);
        return call.quota;
    }
}
