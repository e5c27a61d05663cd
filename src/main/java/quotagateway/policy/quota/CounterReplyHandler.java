package quotagateway.policy.quota;

import quotagateway.policy.api.CallOutcome;

/** Takes the reply to one call to the shared counter; called once. */
@FunctionalInterface
interface CounterReplyHandler {
    /**
     * The call has ended.
     *
     * @param total the counter's new value, where the outcome is {@link CallOutcome#OK}
     */
    void onReply(CallOutcome outcome, double total);
}
