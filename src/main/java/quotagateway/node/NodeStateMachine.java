package quotagateway.node;

import java.util.function.ObjDoubleConsumer;
import quotagateway.lifecycle.NodeState;

/**
 * The state of a node. States are ordered and none is entered twice: a late transition, such as the start of the
 * listener after SIGTERM, has no effect. Transitions are made on the event loop; any thread may read the state.
 */
final class NodeStateMachine {
    private final ObjDoubleConsumer<NodeState> onEntered;
    private volatile NodeState state = NodeState.STARTING;

    /**
     * @param onEntered receives each state that is entered, with the time (ms) within which responses are due then, 0
     *     if there is none
     */
    NodeStateMachine(ObjDoubleConsumer<NodeState> onEntered) {
        this.onEntered = onEntered;
    }

    /** The listener is up; returns false if the node has been told to shut down before. */
    boolean startServing() {
        return enter(NodeState.SERVING, 0);
    }

    /** SIGTERM has arrived; all responses are due within this time (ms). Returns false if it arrived before. */
    boolean startDraining(double responsesDueInMs) {
        return enter(NodeState.DRAINING, responsesDueInMs);
    }

    /** No response is owed any more, so the process may end. Returns false if the node had ended before. */
    boolean end() {
        return enter(NodeState.ENDED, 0);
    }

    private boolean enter(NodeState next, double responsesDueInMs) {
        if (next.compareTo(state) <= 0) {
            return false;
        }
        state = next;
        onEntered.accept(next, responsesDueInMs);
        return true;
    }

    /** Whether clients are accepted: the listener is up and stays up. */
    boolean isServing() {
        return state == NodeState.SERVING;
    }

    /** Whether the node has not been told to shut down yet. */
    boolean isBeforeDraining() {
        return state.compareTo(NodeState.DRAINING) < 0;
    }

    boolean hasEnded() {
        return state == NodeState.ENDED;
    }
}
