package quotagateway.lifecycle;

/** Why an attempt must not be sent, or not any more. Denials are ordinary: time goes on meanwhile. */
public enum SendDenial {
    /** The request has its answer. */
    REQUEST_OVER,
    /** The client has gone: an attempt that begins later counts as lost. */
    CLIENT_GONE,
    /** The large value that belongs to it went out with another attempt. */
    VALUE_GONE,
    /** The client's time is over, or the process's. */
    NO_TIME,
    /** The settings allow no further attempt. */
    ATTEMPTS_USED,
    /** Another attempt is out, and the settings allow no copies. */
    COPY_OUT,
    /** One may have run, and the class must not be repeated. */
    NOT_REPEATABLE,
    /** One may have run, and its servers may not know the key any more when this one comes. */
    WINDOW_OVER,
    /** One may have run, at a server of another group than this one's. */
    OTHER_GROUP
}
