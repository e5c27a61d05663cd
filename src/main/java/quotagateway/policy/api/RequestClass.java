package quotagateway.policy.api;

/**
 * A class of requests.
 *
 * @param name its name in requests
 * @param idempotency whether its requests can be retried
 * @param retryScope which endpoints a retry is limited to, for requests with an idempotency key
 * @param latencyObjective a response within this time (ms) earns the full worth
 * @param deadline the longest time that a client waits (ms)
 * @param priorityWeight worth of one request
 * @param lateWeight fraction of that worth that a response after the latency objective earns
 * @param idempotencyWindow how long after the first attempt (ms) a retry is recognised by its idempotency key
 * @param streaming whether responses arrive in parts
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
    /** Whether retries are limited to some of the endpoints. */
    public boolean retriesStayInScope() {
        return idempotency == Idempotency.IDEMPOTENCY_KEY && retryScope != RetryScope.ALL;
    }
}
