package quotagateway.policy.api;

/** Whether a request that may have been executed can be retried. */
public enum Idempotency {
    /** Always: executing the request twice has the same effect as executing it once. */
    IDEMPOTENT,
    /** Within its idempotency window and {@link RetryScope}, where endpoints recognise its idempotency key. */
    IDEMPOTENCY_KEY,
    /** Never. */
    NON_IDEMPOTENT
}
