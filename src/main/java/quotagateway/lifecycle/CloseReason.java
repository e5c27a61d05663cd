package quotagateway.lifecycle;

/**
 * Why a connection was closed. The names are labels of the metrics (in lower case) and stand in the event log, so they
 * are fixed.
 */
public enum CloseReason {
    /** The peer closed or reset it: the reason where this node gave none. */
    CLOSED_BY_PEER,
    /** An I/O error, or a fault in a handler. */
    ERROR,

    // ---- clients' connections ----

    /** What the client sent could not be read, or did not become a whole command in time. */
    MALFORMED,
    /** At the limit on connections, an idle one was closed for a new one. */
    EVICTED,
    /** Idle during a shutdown. */
    SHUTDOWN_IDLE,
    /** During a shutdown, behind its last response. */
    SHUTDOWN_ANSWERED,
    /** The large value of a response ended before it was whole: the client cannot be told otherwise. */
    VALUE_BROKEN_OFF,
    /** The client did not read what was written to it. */
    UNREAD,
    /** The client did not close its side after this node had closed its own. */
    LINGER_OVER,

    // ---- connections to endpoints ----

    /** Idle for longer than endpoints have been seen to keep idle connections open. */
    IDLE_LIMIT,
    /** Idle for nearly as long as the configuration says that endpoints keep idle connections open. */
    RETIRED,
    /** Its endpoint is no longer in use. */
    SERVER_NOT_USED,
    /** Idle, and another endpoint needed the descriptor. */
    ROOM,
    /** Its attempt was abandoned: the response to that would be taken for the next one's. */
    ATTEMPT_GIVEN_UP,
    /** The endpoint sent something that is no response to a request. */
    UNASKED,
    /** The endpoint's response could not be read, or did not come whole. */
    UNREADABLE,
    /** Nobody waits any more for the large value that comes on it. */
    VALUE_NOT_WANTED
}
