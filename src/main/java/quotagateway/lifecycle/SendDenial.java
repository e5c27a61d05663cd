package quotagateway.lifecycle;

/**
 * Why an attempt is not sent, though the policy has decided on it: time has gone on since. Denials are ordinary. The
 * names are labels of the metrics (in lower case) and stand in the event log, so they are fixed.
 */
public enum SendDenial {
    /** The request has its response. */
    REQUEST_OVER,
    /** The client has disconnected: an attempt that begins later counts as a lost request. */
    CLIENT_GONE,
    /** Its large value has gone out with another attempt, and is not kept. */
    VALUE_GONE,
    /** The request's deadline has passed. */
    NO_TIME,
    /** The settings allow no more attempts of a request. */
    ATTEMPTS_USED,
    /** Another attempt is in flight, and the settings allow no hedging. */
    COPY_OUT,
    /** An earlier attempt may have been executed, and the request class must not be executed twice. */
    NOT_REPEATABLE,
    /** An earlier attempt may have been executed, and endpoints may have forgotten its idempotency key by now. */
    WINDOW_OVER,
    /** An earlier attempt may have been executed, by an endpoint that does not share its keys with this one. */
    OTHER_GROUP
}
