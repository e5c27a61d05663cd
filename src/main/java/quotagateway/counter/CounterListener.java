package quotagateway.counter;

import quotagateway.policy.api.CallOutcome;

/** Who is told the outcomes of calls to the shared counter: one for each call. */
public interface CounterListener {
    /** A call has ended, after so long (ms); total is the counter's new value where the outcome is OK. */
    void onCounterReply(long name, CallOutcome outcome, double tookMs, double total);
}
