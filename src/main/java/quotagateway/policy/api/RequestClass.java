package quotagateway.policy.api;

/**
 * A class of requests.
 *
 * @param name its name in requests
 * @param idempotency whether its requests can be retried
 * @param retryScope where a retry has to stay, for requests with an idempotency key
 * @param latencyObjective a response within this time (ms) earns the full worth
 * @param deadline no client waits longer than this (ms)
 * @param priorityWeight what one request is worth
 * @param lateWeight the part of that worth which a response past the latency objective earns
 * @param idempotencyWindow how long after the first attempt (ms) a retry is recognised by its key
 * @param streaming whether responses come in parts
 */
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
    /** Whether a retry has to stay with a part of the endpoints. */
    public boolean retriesStayInScope() {
        return idempotency == Idempotency.IDEMPOTENCY_KEY && retryScope != RetryScope.ALL;
    }
}
