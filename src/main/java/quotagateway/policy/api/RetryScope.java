package quotagateway.policy.api;

/** Which endpoints recognise each other's idempotency keys. */
public enum RetryScope {
    /** All of them. */
    ALL,
    /** Those of one zone. */
    ZONE,
    /** Those of one cell. */
    CELL
}
