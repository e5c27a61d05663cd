package quotagateway.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.Invariant;
import quotagateway.lifecycle.SendDenial;
import quotagateway.policy.api.Capabilities;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.upstream.Attempt;

/**
 * The one place that allows or denies what could lose a request, execute it twice or send it astray: sending an
 * attempt, retrying, responding, closing a client's connection, listening, and ending the process. It is asked at the
 * moment of the act, not of the decision, as time goes on between the two.
 *
 * <p>There are two kinds of answers. A {@link SendDenial} is ordinary: an attempt is no longer useful or no longer
 * safe. An {@link Invariant} holds whatever clients and endpoints do; where it does not, that is a fault of this
 * program, and the listener is told, so that it is counted and logged with what led to it:
 *
 * <ul>
 *   <li>{@link Invariant#ONE_ANSWER}: a request gets one final response. A second one would be taken for the response
 *       of the next request on the connection, so it is not written.
 *   <li>{@link Invariant#ANSWERED_IN_TIME}: the response comes within {@link #MAX_RESPONSE_DELAY_MS} of the client's
 *       timeout. A later one is still written, as the connection needs it.
 *   <li>{@link Invariant#SENT_WITHIN_REQUEST}: no attempt begins more than {@link #MAX_SEND_DELAY_MS} after its
 *       request is completed, for nobody would get its response. Attempts that wait for a connection are cancelled
 *       when their request is completed.
 *   <li>{@link Invariant#CLOSED_OWING_NOTHING}: a client's connection is not closed by this node while requests on it
 *       are open: their clients would not know whether they were executed. Such a close is denied.
 *   <li>{@link Invariant#ENDED_OWING_NOTHING}: a process that ends by itself has responded to every request, as it can
 *       be relied on to be up until SIGKILL, and all responses are due before that.
 *   <li>{@link Invariant#TAKEN_BEFORE_THE_END}: a node whose shutdown has ended accepts no request: it would be open
 *       when the process exits.
 * </ul>
 *
 * All of it runs on the event loop.
 */
final class LifecycleGuard {
    /** A node may be held up so long (ms) between reading its clock and writing. */
    private static final double MAX_NODE_STALL_MS = 150;
    /** How late (ms) a response may be without being a fault: one up to here is only worth nothing. */
    private static final double MAX_RESPONSE_DELAY_MS = 500;
    /** An attempt that begins so long (ms) after the client's end counts as a lost request. */
    private static final double MAX_SEND_DELAY_MS = 100;

    /** Told of each violation of an invariant. */
    @FunctionalInterface
    interface ViolationListener {
        /** An invariant does not hold for a request, by its client's id; null where it concerns no single one. */
        void onViolated(Invariant invariant, String requestId);
    }

    private final Capabilities capabilities;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final NodeStateMachine state;
    private final ViolationListener listener;

    LifecycleGuard(PolicySettings settings, NodeStateMachine state, ViolationListener listener) {
        this.state = state;
        this.listener = listener;
        capabilities = settings.capabilities();
        settings.requestClasses().forEach(c -> requestClasses.put(c.name(), c));
    }

    // ---- the process ----

    /** Whether the node may begin to listen: not once it has been told to end, during its start too. */
    boolean mayListen() {
        return state.isBeforeDraining();
    }

    /** Whether the process may end now; at its last moment it does so even where that violates an invariant. */
    boolean mayEnd(boolean clientsIdle, int openRequests, boolean lastMoment) {
        boolean owing = openRequests > 0;
        if (lastMoment && owing) {
            listener.onViolated(Invariant.ENDED_OWING_NOTHING, null);
        }
        return lastMoment || (clientsIdle && !owing);
    }

    // ---- requests ----

    /** A request is accepted. */
    void onRequestAccepted(String requestId) {
        if (state.hasEnded()) {
            listener.onViolated(Invariant.TAKEN_BEFORE_THE_END, requestId);
        }
    }

    /**
     * Whether a request may be given its final response now.
     *
     * @param completed whether it needs no response any more
     * @param lateMs how long ago its client's timeout was; negative where it is still to come
     */
    boolean mayRespond(String requestId, boolean completed, double lateMs) {
        if (completed) {
            listener.onViolated(Invariant.ONE_ANSWER, requestId);
            return false;
        }
        if (lateMs > MAX_RESPONSE_DELAY_MS) {
            listener.onViolated(Invariant.ANSWERED_IN_TIME, requestId);
        }
        return true;
    }

    /** Whether this node may close a client's connection now; where it may not, its requests come first. */
    boolean mayClose(CloseReason reason, int openRequests) {
        // no response can follow half a value, and a client that reads nothing cannot be given one
        boolean cannotRespond = reason == CloseReason.VALUE_BROKEN_OFF || reason == CloseReason.UNREAD;
        if (openRequests > 0 && !cannotRespond) {
            listener.onViolated(Invariant.CLOSED_OWING_NOTHING, null);
            return false;
        }
        return true;
    }

    // ---- attempts ----

    /** Why an attempt, the last of its request, may not be sent now; empty where it may. */
    Optional<SendDenial> denialOf(ActiveRequest request, Attempt attempt, double now) {
        if (request.isCompleted()) {
            return Optional.of(SendDenial.REQUEST_OVER);
        }
        if (request.isClientDisconnected()) {
            return Optional.of(SendDenial.CLIENT_GONE);
        }
        if (request.isBodyConsumed()) {
            return Optional.of(SendDenial.VALUE_GONE);
        }
        if (request.deadline().hasPassed(now)) {
            return Optional.of(SendDenial.NO_TIME);
        }
        if (attempt.number() >= capabilities.maxAttempts()) {
            return Optional.of(SendDenial.ATTEMPTS_USED);
        }
        RequestClass requestClass = requestClasses.get(request.command().requestClass());
        for (int i = 0; i < attempt.number(); i++) {
            Optional<SendDenial> denial =
                    denialOfRetry(requestClass, request.attempts().get(i), attempt, now);
            if (denial.isPresent()) {
                return denial;
            }
        }
        return Optional.empty();
    }

    /**
     * Why an attempt may not follow an earlier one of its request now; empty where it may.
     *
     * @param requestClass the request's, or null where the settings have none of its name
     */
    Optional<SendDenial> denialOfRetry(RequestClass requestClass, Attempt earlier, Attempt next, double now) {
        boolean inFlight = !earlier.isEnded();
        if (inFlight && !capabilities.hedging()) {
            return Optional.of(SendDenial.COPY_OUT);
        }
        boolean mayHaveRun = inFlight || (earlier.outcome() != null && !earlier.outcome().provesNotExecuted);
        if (!mayHaveRun || (requestClass != null && requestClass.idempotency() == Idempotency.IDEMPOTENT)) {
            return Optional.empty();
        }
        if (requestClass == null || requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            return Optional.of(SendDenial.NOT_REPEATABLE);
        }
        if (now - earlier.sentAt() >= requestClass.idempotencyWindow() - MAX_NODE_STALL_MS) {
            return Optional.of(SendDenial.WINDOW_OVER);
        }
        boolean leavesScope = requestClass.retriesStayInScope()
                && !inSameScope(requestClass.retryScope(), earlier.descriptor(), next.descriptor());
        return leavesScope ? Optional.of(SendDenial.OTHER_GROUP) : Optional.empty();
    }

    /** Whether two endpoints know each other's idempotency keys; an unknown endpoint is taken not to. */
    private static boolean inSameScope(RetryScope scope, EndpointDescriptor one, EndpointDescriptor other) {
        if (one == null || other == null) {
            return false;
        }
        return scope == RetryScope.ZONE ? one.zone().equals(other.zone()) : one.cell() == other.cell();
    }

    /** The last byte of an attempt is written, so long (ms) after its request was completed, or 0. */
    void onAttemptWritten(String requestId, double afterCompletionMs) {
        if (afterCompletionMs > MAX_SEND_DELAY_MS) {
            listener.onViolated(Invariant.SENT_WITHIN_REQUEST, requestId);
        }
    }
}
