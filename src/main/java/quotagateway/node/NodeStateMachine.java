package quotagateway.node;

import java.util.function.ObjDoubleConsumer;
import quotagateway.lifecycle.NodeState;

/**
 * The state of a node. States have an order and none is entered twice: a transition that comes late, as when the
 * listener comes up behind SIGTERM, changes nothing. Transitions are made on the event loop; any thread may read.
 */
final class NodeStateMachine {
    private final ObjDoubleConsumer<NodeState> onEntered;
    private volatile NodeState state = NodeState.STARTING;

    /** @param onEntered told of each state, and within how many ms responses are due then, 0 for no such time */
    NodeStateMachine(ObjDoubleConsumer<NodeState> onEntered) {
        this.onEntered = onEntered;
    }

    /** The listener is up; false where the node has been told to end before. */
    boolean startServing() {
        return enter(NodeState.SERVING, 0);
    }

    /** SIGTERM has come; all responses are due within so long (ms). False where it has come before. */
    boolean startDraining(double responsesDueInMs) {
        return enter(NodeState.DRAINING, responsesDueInMs);
    }

    /** Nothing is owed any more: the process may end. */
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

    /** Whether clients are accepted: the listener is up and is to stay. */
    boolean isServing() {
        return state == NodeState.SERVING;
    }

    /** Whether the node has not been told to end yet. */
    boolean isBeforeDraining() {
        return state.compareTo(NodeState.DRAINING) < 0;
    }

    boolean hasEnded() {
        return state == NodeState.ENDED;
    }
}
