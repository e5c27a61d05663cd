package quotagateway.policy.api;

/** The servers that drop each other's repeats of a keyed request. */
public enum RetryScope {
    ALL,
    ZONE,
    CELL
}
