package quotagateway.lifecycle;

/**
 * Properties that hold regardless of what clients and endpoints do; a violation is a fault of this program. The names
 * are fixed, as they are labels of the metrics (in lower case) and appear in the event log.
 */
public enum Invariant {
    /** A request gets one final response. */
    ONE_ANSWER,
    /** A response is given no later than 0.5 s after its client's timeout. */
    ANSWERED_IN_TIME,
    /** An attempt is written no later than 0.1 s after the end of its request. */
    SENT_WITHIN_REQUEST,
    /** A client connection that this node closes has no open requests. */
    CLOSED_OWING_NOTHING,
    /** A process that ends by itself has no open requests. */
    ENDED_OWING_NOTHING,
    /** A node that has ended accepts no requests. */
    TAKEN_BEFORE_THE_END
}
