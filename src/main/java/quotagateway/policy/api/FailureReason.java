package quotagateway.policy.api;

/** Why a request was refused or failed; it changes nothing of the answer, and is told to operators. */
public enum FailureReason {
    /** The settings have no such class or plan. */
    NOT_IN_SETTINGS,
    /** A client's retry, or one with no useful time left, while its quota is short. */
    QUOTA_SHORT,
    /** Held for quota or a server until an answer would have been late. */
    HELD_TOO_LONG,
    /** The client's time is over. */
    DEADLINE,
    /** Its attempt may have run, and the class may not be repeated, or not any more. */
    NOT_REPEATABLE,
    /** All attempts that the settings allow are used. */
    ATTEMPTS_USED,
    /** Too little time is left for another attempt. */
    NO_TIME_TO_REPEAT,
    /** The decision module gave no answer in time, or failed. */
    NO_DECISION,
    /** What came behind it on its connection could not be read. */
    CONNECTION_MALFORMED,
    /** It came when a process that ends had to have answered all. */
    SHUTDOWN
}
