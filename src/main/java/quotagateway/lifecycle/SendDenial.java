package quotagateway.lifecycle;

/**
 * Why an attempt that the policy has decided on is not sent: time has passed since the decision. Denials are ordinary.
 * The names are fixed, as they are labels of the metrics (in lower case) and appear in the event log.
 */
public enum SendDenial {
    /** The request has its response. */
    REQUEST_OVER,
    /** The client has disconnected: an attempt that begins later counts as a lost request. */
    CLIENT_GONE,
    /** The large value of the request has been sent with another attempt or discarded, and is not kept. */
    VALUE_GONE,
    /** The deadline of the request has passed. */
    NO_TIME,
    /** The settings allow no more attempts of the request. */
    ATTEMPTS_USED,
    /** Another attempt is in flight, and the settings do not allow hedging. */
    COPY_OUT,
    /** An earlier attempt may have been executed, and the request class must not be executed twice. */
    NOT_REPEATABLE,
    /** An earlier attempt may have been executed, and endpoints may no longer recognize its idempotency key. */
    WINDOW_OVER,
    /** An earlier attempt may have been executed, by an endpoint that does not share its keys with this one. */
    OTHER_GROUP
}
