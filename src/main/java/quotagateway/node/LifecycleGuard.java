package quotagateway.node;

import java.util.HashMap;
import java.util.Map;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.Invariant;
import quotagateway.lifecycle.NodeState;
import quotagateway.lifecycle.SendDenial;
import quotagateway.policy.api.Capabilities;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.upstream.Attempt;

/**
 * The one guard of what may lose, repeat or misplace a request: sending an attempt, repeating it, ending a
 * connection, listening, and ending the process. It is asked at the moment of the act, not of the decision.
 * What must hold whatever the peers do is an invariant: a violation is counted, told in the event log with
 * what led to it, and is a fault of this program. All of it runs on the node's loop.
 */
public final class LifecycleGuard {

    /** A node may be held up so long (ms) between reading its clock and writing. */
    private static final double HOLD_UP = 150;
    /** Up to so long (ms) after its time an answer only earns nothing. */
    private static final double ANSWER_LATE = 500;
    /** An attempt that begins so long (ms) after the client's end counts as lost. */
    private static final double SENT_LATE = 100;

    /** Told of each violation. */
    interface Listener {
        void violated(Invariant invariant, String request);
    }

    private final Capabilities allowed;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Listener listener;
    private NodeState phase = NodeState.STARTING;

    LifecycleGuard(PolicySettings settings, Listener listener) {
        this.listener = listener;
        allowed = settings.capabilities();
        settings.requestClasses().forEach(c -> classes.put(c.name(), c));
    }

    // ---- the process ----

    /** Enters a state; false where it is past it: states have an order, and none is entered twice. */
    boolean enter(NodeState next) {
        if (next.compareTo(phase) <= 0) {
            return false;
        }
        phase = next;
        return true;
    }

    boolean hasEnded() {
        return phase == NodeState.ENDED;
    }

    /** A process that was told to end, during its start too, does not begin to listen. */
    public boolean mayListen() {
        return phase.compareTo(NodeState.DRAINING) < 0;
    }

    /** Whether the process may end now by itself; past its last moment it does so all the same. */
    boolean mayEnd(boolean clientsIdle, int openRequests, boolean lastMoment) {
        boolean owing = openRequests > 0;
        if (lastMoment && owing) {
            violated(Invariant.ENDED_OWING_NOTHING, null);
        }
        return lastMoment || (clientsIdle && !owing);
    }

    // ---- requests ----

    /** A request is about to be taken. */
    void taking(String request) {
        if (hasEnded()) {
            violated(Invariant.TAKEN_BEFORE_THE_END, request);
        }
    }

    /** Whether a request may be given its answer now; false where it has one. */
    boolean mayAnswer(String request, boolean over, double late) {
        if (over) {
            violated(Invariant.ONE_ANSWER, request);
            return false;
        }
        if (late > ANSWER_LATE) {
            violated(Invariant.ANSWERED_IN_TIME, request);
        }
        return true;
    }

    /** Whether a client's connection may be ended now by this node; else its requests are answered first. */
    public boolean mayClose(CloseReason reason, int openRequests) {
        // behind half a value no answer can be told apart, and who reads nothing cannot be answered
        boolean excused = reason == CloseReason.VALUE_BROKEN_OFF || reason == CloseReason.UNREAD;
        if (openRequests > 0 && !excused) {
            violated(Invariant.CLOSED_OWING_NOTHING, null);
            return false;
        }
        return true;
    }

    // ---- attempts ----

    /** Why this attempt may not be written now; null where it may. */
    SendDenial denial(ActiveRequest r, Attempt a, double now) {
        if (r.completed) {
            return SendDenial.REQUEST_OVER;
        }
        if (r.slot.isDisconnected()) {
            return SendDenial.CLIENT_GONE;
        }
        if (r.body != null && r.body.isConsumed()) {
            return SendDenial.VALUE_GONE;
        }
        if (now >= r.deadline) {
            return SendDenial.NO_TIME;
        }
        if (a.number() >= allowed.maxAttempts()) {
            return SendDenial.ATTEMPTS_USED;
        }
        RequestClass type = classes.get(r.parsed.requestClass());
        for (Attempt before : r.attempts.subList(0, a.number())) {
            SendDenial denial = repeat(type, before, a, now);
            if (denial != null) {
                return denial;
            }
        }
        return null;
    }

    /** Why an attempt may not follow this one before it; null where it may. */
    SendDenial repeat(RequestClass type, Attempt before, Attempt next, double now) {
        boolean out = !before.isEnded();
        if (out && !allowed.hedging()) {
            return SendDenial.COPY_OUT;
        }
        boolean ran = out || (before.outcome() != null && !before.outcome().provesNotExecuted);
        if (!ran || (type != null && type.idempotency() == Idempotency.IDEMPOTENT)) {
            return null;
        }
        if (type == null || type.idempotency() == Idempotency.NON_IDEMPOTENT) {
            return SendDenial.NOT_REPEATABLE;
        }
        if (now - before.sentAt() >= type.idempotencyWindow() - HOLD_UP) {
            return SendDenial.WINDOW_OVER;
        }
        return type.retriesStayInScope() && !sameGroup(type.retryScope(), before.descriptor(), next.descriptor())
                ? SendDenial.OTHER_GROUP
                : null;
    }

    private static boolean sameGroup(RetryScope group, EndpointDescriptor one, EndpointDescriptor other) {
        if (one == null || other == null) {
            return false;
        }
        return group == RetryScope.ZONE ? one.zone().equals(other.zone()) : one.cell() == other.cell();
    }

    /** An attempt has been written out, so long (ms) after its request was over, or 0. */
    void written(String request, double afterEnd) {
        if (afterEnd > SENT_LATE) {
            violated(Invariant.SENT_WITHIN_REQUEST, request);
        }
    }

    private void violated(Invariant invariant, String request) {
        listener.violated(invariant, request);
    }
}
