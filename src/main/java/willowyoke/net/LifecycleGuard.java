package willowyoke.net;

import java.util.HashMap;
import java.util.Map;
import willowyoke.Gateway;

/**
 * The one guard of what may lose, repeat or misplace a request: sending an attempt, repeating it, ending a
 * connection, listening, and ending the process. It is asked at the moment of the act, not of the decision.
 * What must hold whatever the peers do is an invariant: a violation is counted, told in the event log with
 * what led to it, and is a fault of this program. All of it runs on the node's loop.
 */
final class LifecycleGuard {
    /** Why an attempt must not be sent, or not any more. Denials are ordinary: time goes on meanwhile. */
    enum Denial {
        /** The request has its answer. */
        REQUEST_OVER,
        /** The client has gone: an attempt that begins later counts as lost. */
        CLIENT_GONE,
        /** The large value that belongs to it went out with another attempt. */
        VALUE_GONE,
        /** The client's time is over, or the process's. */
        NO_TIME,
        /** The settings allow no further attempt. */
        ATTEMPTS_USED,
        /** Another attempt is out, and the settings allow no copies. */
        COPY_OUT,
        /** One may have run, and the class must not be repeated. */
        NOT_REPEATABLE,
        /** One may have run, and its servers may not know the key any more when this one comes. */
        WINDOW_OVER,
        /** One may have run, at a server of another group than this one's. */
        OTHER_GROUP
    }

    /** What holds at any time. */
    enum Invariant {
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

    private final Gateway.Allowed allowed;
    private final Map<String, Gateway.RequestClass> classes = new HashMap<>();
    private final Listener listener;
    private Phase phase = Phase.STARTING;

    LifecycleGuard(Gateway.Settings settings, Listener listener) {
        this.listener = listener;
        allowed = settings.allowed();
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    // ---- the process ----

    /** Enters a state; false where it is past it: states have an order, and none is entered twice. */
    boolean enter(Phase next) {
        if (next.compareTo(phase) <= 0) {
            return false;
        }
        phase = next;
        return true;
    }

    boolean hasEnded() {
        return phase == Phase.ENDED;
    }

    /** A process that was told to end, during its start too, does not begin to listen. */
    boolean mayListen() {
        return phase.compareTo(Phase.DRAINING) < 0;
    }

    /** Whether the process may end now by itself; past its last moment it does so all the same. */
    boolean mayEnd(boolean clientsIdle, int openRequests, boolean lastMoment) {
        boolean owing = openRequests > 0;
        if (lastMoment && owing) {
            violated(Invariant.ENDED_OWING_NOTHING, null);
        }
        return lastMoment || clientsIdle && !owing;
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
    boolean mayClose(CloseReason reason, int openRequests) {
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
    Denial denial(Node.Request r, ServerPool.Attempt a, double now) {
        if (r.over) {
            return Denial.REQUEST_OVER;
        }
        if (r.slot.isClosed()) {
            return Denial.CLIENT_GONE;
        }
        if (r.body != null && r.body.isGone()) {
            return Denial.VALUE_GONE;
        }
        if (now >= r.deadline) {
            return Denial.NO_TIME;
        }
        if (a.number >= allowed.attempts()) {
            return Denial.ATTEMPTS_USED;
        }
        Gateway.RequestClass type = classes.get(r.call.type());
        for (ServerPool.Attempt before : r.attempts.subList(0, a.number)) {
            Denial denial = repeat(type, before, a, now);
            if (denial != null) {
                return denial;
            }
        }
        return null;
    }

    /** Why an attempt may not follow this one before it; null where it may. */
    Denial repeat(Gateway.RequestClass type, ServerPool.Attempt before, ServerPool.Attempt next, double now) {
        boolean out = !before.done;
        if (out && !allowed.copies()) {
            return Denial.COPY_OUT;
        }
        boolean ran = out || before.outcome != null && !before.outcome.neverRan;
        if (!ran || type != null && type.effect() == Gateway.Effect.SAFE) {
            return null;
        }
        if (type == null || type.effect() == Gateway.Effect.UNSAFE) {
            return Denial.NOT_REPEATABLE;
        }
        if (now - before.sent >= type.window() - HOLD_UP) {
            return Denial.WINDOW_OVER;
        }
        return type.staysInGroup() && !sameGroup(type.group(), before.place, next.place) ? Denial.OTHER_GROUP : null;
    }

    private static boolean sameGroup(Gateway.Group group, Gateway.Server one, Gateway.Server other) {
        if (one == null || other == null) {
            return false;
        }
        return group == Gateway.Group.ZONE ? one.zone().equals(other.zone()) : one.cell() == other.cell();
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
