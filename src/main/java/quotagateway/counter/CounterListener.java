package quotagateway.counter;

import quotagateway.policy.api.CallOutcome;

/** Receives the outcomes of calls to the shared counter, one for each call. Called on the event loop. */
public interface CounterListener {
    /**
     * A call has ended.
     *
     * @param name the name on the counter that was added to
     * @param tookMs the time from the call on
     * @param total the name's new total where the outcome is OK, else 0
     */
    void onCounterReply(long name, CallOutcome outcome, double tookMs, double total);
}
