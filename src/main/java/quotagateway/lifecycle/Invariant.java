package quotagateway.lifecycle;

/**
 * What holds at any time, whatever clients and endpoints do: a violation is a fault of this program. The names are
 * labels of the metrics (in lower case) and stand in the event log, so they are fixed.
 */
public enum Invariant {
    /** A request gets one final response. */
    ONE_ANSWER,
    /** A response comes within half a second of its client's timeout. */
    ANSWERED_IN_TIME,
    /** An attempt is written within a tenth of a second of the end of its request. */
    SENT_WITHIN_REQUEST,
    /** A client's connection that this node closes has no open requests. */
    CLOSED_OWING_NOTHING,
    /** A process that ends by itself has no open requests. */
    ENDED_OWING_NOTHING,
    /** A node that has ended accepts no requests. */
    TAKEN_BEFORE_THE_END
}
