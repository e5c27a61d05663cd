package quotagateway.admin;

/** How a call that cordons an endpoint, or takes the cordon off, ended. */
public enum CordonResult {
    /** In force, and kept for the next process. */
    DONE,
    /** No endpoint list has named the endpoint. */
    UNKNOWN,
    /** In force here, but not kept for the next process; or the gateway has not come up yet. */
    NOT_KEPT
}
