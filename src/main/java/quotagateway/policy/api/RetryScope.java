package quotagateway.policy.api;

/** Which endpoints recognise each other's idempotency keys. */
public enum RetryScope {
    /** All endpoints. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL
}
