package quotagateway.policy.api;

/**
 * A class of requests.
 *
 * @param name the name by which a request states its class
 * @param idempotency whether its requests can be retried
 * @param retryScope which endpoints a retry is limited to, for requests with an idempotency key
 * @param latencyObjective a response within this time (ms) has the full value, {@code priorityWeight}
 * @param deadline the longest time that a client waits (ms)
 * @param priorityWeight value of a response to one request within the latency objective
 * @param lateWeight fraction of that value that a response after the latency objective still has
 * @param idempotencyWindow how long after the first attempt (ms) endpoints recognise a retry by its idempotency key
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
