package quotagateway.lifecycle;

/** The states of a node, in their order: none is entered twice. */
public enum NodeState {
    /** Comes up: does not listen yet. */
    STARTING,
    /** Listens, and takes requests. */
    SERVING,
    /** Told to end: answers what it has taken, and what still comes on open connections. */
    DRAINING,
    /** All is answered: the process may end. */
    ENDED
}
