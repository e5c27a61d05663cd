package quotagateway.admin;

/** Result of a call that cordons or uncordons an endpoint. */
public enum CordonResult {
    /** The change is in effect, and persisted for the next process. */
    DONE,
    /** No endpoint list has named the endpoint. */
    UNKNOWN,
    /** The change is in effect but not persisted for the next process, or the gateway has not started up yet. */
    NOT_PERSISTED
}
