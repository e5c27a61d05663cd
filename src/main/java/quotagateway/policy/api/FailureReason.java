package quotagateway.policy.api;

/** Why a request was rejected or failed. The reason does not affect the response; it is reported to operators. */
public enum FailureReason {
    /** The settings do not contain the request's class or plan. */
    NOT_IN_SETTINGS,
    /** The quota is short, and the request is a client's retry or is past its latency objective. */
    QUOTA_SHORT,
    /** The request waited for quota or an endpoint until a response would have been late. */
    HELD_TOO_LONG,
    /** The client's deadline has passed. */
    DEADLINE,
    /** An attempt may have been executed, and the request's class allows no retry, or no longer does. */
    NOT_REPEATABLE,
    /** The request has used all attempts that the settings allow. */
    ATTEMPTS_USED,
    /** Too little time is left for another attempt. */
    NO_TIME_TO_REPEAT,
    /** The policy made no decision in time, or failed. */
    NO_DECISION,
    /** The data that followed the request on its connection could not be parsed. */
    CONNECTION_MALFORMED,
    /** The request arrived after the time by which a process that shuts down must have responded to all requests. */
    SHUTDOWN,
    /** The request's value was dropped as it arrived, as there was no memory for it. */
    MEMORY_SHORT
}
