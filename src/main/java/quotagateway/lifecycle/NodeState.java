package quotagateway.lifecycle;

/** The states of a node, in the order in which they are entered; some may be left out, none is entered twice. */
public enum NodeState {
    /** Comes up, and does not listen yet. */
    STARTING,
    /** Listens and accepts requests. */
    SERVING,
    /** Has been told to end: responds to all open requests, and to those that still come. */
    DRAINING,
    /** Owes no response: the process may end. */
    ENDED
}
