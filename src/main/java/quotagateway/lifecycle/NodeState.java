package quotagateway.lifecycle;

/** The states of a node, in the order in which they are entered; a state may be skipped, and none is entered twice. */
public enum NodeState {
    /** The node starts and does not listen yet. */
    STARTING,
    /** The node listens and accepts requests. */
    SERVING,
    /** The node has been told to shut down: it responds to all open requests, and to those that still arrive. */
    DRAINING,
    /** The node owes no response: the process may end. */
    ENDED
}
