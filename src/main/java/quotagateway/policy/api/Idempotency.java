package quotagateway.policy.api;

/** Whether a request that may have been executed can be retried. */
public enum Idempotency {
    /** Freely: executing it twice is as executing it once. */
    IDEMPOTENT,
    /** Within its idempotency window and {@link RetryScope}, where endpoints recognise its key. */
    IDEMPOTENCY_KEY,
    /** Never. */
    NON_IDEMPOTENT
}
