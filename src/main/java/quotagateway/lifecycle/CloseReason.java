package quotagateway.lifecycle;

/** Why a connection was closed, by which side. */
public enum CloseReason {
    /** The other side closed or reset it. */
    CLOSED_BY_PEER,
    /** An I/O error, or a fault in a handler. */
    ERROR,
    /** A client's command could not be read, or did not come whole in time. */
    MALFORMED,
    /** A client between requests gave its place to another. */
    EVICTED,
    /** The shutdown found a client's connection between requests. */
    SHUTDOWN_IDLE,
    /** The shutdown let a client's connection end behind its last answer. */
    SHUTDOWN_ANSWERED,
    /** A value broke off while it was passed on to the client. */
    VALUE_BROKEN_OFF,
    /** The client took nothing of what was left to it. */
    UNREAD,
    /** The client did not close its side after ours had ended. */
    LINGER_OVER,
    /** Stood idle for longer than the place server is seen to bear. */
    IDLE_LIMIT,
    /** Stood idle for nearly as long as the settings allow. */
    RETIRED,
    /** Its place server is not used any more. */
    SERVER_NOT_USED,
    /** Idle, and another place server needed the descriptor. */
    ROOM,
    /** Its attempt was given up: an answer is still owed on it. */
    ATTEMPT_GIVEN_UP,
    /** The place server sent what nobody asked for. */
    UNASKED,
    /** The place server's answer could not be read, or did not come whole. */
    UNREADABLE,
    /** Nobody waits for the large value that comes on it. */
    VALUE_NOT_WANTED
}
