package quotagateway.policy.api;

/** Why a request was rejected or failed. The reason changes nothing of the response; it is told to operators. */
public enum FailureReason {
    /** The settings have no such class or plan. */
    NOT_IN_SETTINGS,
    /** A client's retry, or a request with no useful time left, while its quota is short. */
    QUOTA_SHORT,
    /** Queued for quota or an endpoint until a response would have been late. */
    HELD_TOO_LONG,
    /** The client's deadline has passed. */
    DEADLINE,
    /** Its attempt may have been executed, and the class may not be retried, or not any more. */
    NOT_REPEATABLE,
    /** All attempts that the settings allow are used. */
    ATTEMPTS_USED,
    /** Too little time is left for another attempt. */
    NO_TIME_TO_REPEAT,
    /** The policy made no decision in time, or failed. */
    NO_DECISION,
    /** What came behind it on its connection could not be read. */
    CONNECTION_MALFORMED,
    /** It came when a process that shuts down had to have answered everything. */
    SHUTDOWN
}
