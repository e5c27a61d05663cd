package quotagateway.admin;

/** How a call ended: known and kept; no server; in force here, but not kept for the next process. */
public enum CordonResult {
    DONE,
    UNKNOWN,
    NOT_KEPT
}
