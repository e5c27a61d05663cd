package quotagateway.policy.quota;

import quotagateway.policy.api.CallOutcome;

/** Handles the reply to one call to the shared counter; called exactly once. */
@FunctionalInterface
interface CounterReplyHandler {
    /**
     * Called when the call has ended.
     *
     * @param total the counter's new value, where the outcome is {@link CallOutcome#OK}
     */
    void onReply(CallOutcome outcome, double total);
}
