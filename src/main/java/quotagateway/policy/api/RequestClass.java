package quotagateway.policy.api;

/** A class of requests. */
public record RequestClass(
        String name,
        Idempotency idempotency,
        RetryScope retryScope,
        double latencyObjective,
        double deadline,
        double priorityWeight,
        double lateWeight,
        double idempotencyWindow,
        boolean streaming) {
    /** Whether a repeat has to stay with a part of the servers. */
    public boolean retriesStayInScope() {
        return idempotency == Idempotency.IDEMPOTENCY_KEY && retryScope != RetryScope.ALL;
    }
}
