package quotagateway.lifecycle;

/**
 * Why a connection was closed. The names are fixed, as they are labels of the metrics (in lower case) and appear in the
 * event log.
 */
public enum CloseReason {
    /** The peer closed or reset the connection; the reason if this node gave none. */
    CLOSED_BY_PEER,
    /** An I/O error, or a fault in a handler. */
    ERROR,

    // ---- client connections ----

    /** What the client sent could not be read, or did not become a complete command in time. */
    MALFORMED,
    /** At the limit on connections, a connection without open requests was closed for a new one. */
    EVICTED,
    /** The connection was idle during a shutdown. */
    SHUTDOWN_IDLE,
    /** The last response on the connection was written during a shutdown. */
    SHUTDOWN_ANSWERED,
    /** The large value of a response ended before it was complete; only the close tells the client. */
    VALUE_BROKEN_OFF,
    /** The client did not read the data written to it. */
    UNREAD,
    /** The client did not close its side in time after this node had closed its own. */
    LINGER_OVER,

    // ---- connections to endpoints ----

    /** The connection was idle for longer than endpoints were observed to keep idle connections open. */
    IDLE_LIMIT,
    /** The connection was idle for nearly as long as endpoints keep idle connections open by the configuration. */
    RETIRED,
    /** The endpoint is no longer in use. */
    SERVER_NOT_USED,
    /** The connection was idle, and a connection to another endpoint needed its descriptor. */
    ROOM,
    /** The attempt was abandoned: its response would be taken for that of the next attempt. */
    ATTEMPT_GIVEN_UP,
    /** The endpoint sent data that is not a response to a request. */
    UNASKED,
    /** The endpoint's response could not be read, or was incomplete. */
    UNREADABLE,
    /** No client waits any more for the large value that the endpoint sends. */
    VALUE_NOT_WANTED
}
