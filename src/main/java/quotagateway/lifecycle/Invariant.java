package quotagateway.lifecycle;

/** What holds at any time. */
public enum Invariant {
    /** A request has one answer. */
    ONE_ANSWER,
    /** A request is answered within half a second of its time. */
    ANSWERED_IN_TIME,
    /** An attempt is written out within a tenth of a second of its request's end. */
    SENT_WITHIN_REQUEST,
    /** A connection that this node ends owes no answer. */
    CLOSED_OWING_NOTHING,
    /** A process that ends by itself owes no answer. */
    ENDED_OWING_NOTHING,
    /** No request is taken by a process that has ended its work. */
    TAKEN_BEFORE_THE_END
}
