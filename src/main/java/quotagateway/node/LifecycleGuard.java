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
 * Allows or denies the acts that could lose a request, execute it twice or send it to a wrong endpoint: sending an
 * attempt, retrying, responding, closing a client connection, listening, and ending the process. Only this class
 * decides on them, at the moment of the act rather than of the decision that led to it, as time passes between the two.
 *
 * <p>There are two kinds of results. A {@link SendDenial} is ordinary: an attempt is no longer useful or no longer
 * safe. An {@link Invariant} holds regardless of what clients and endpoints do. A violation of an invariant is a fault
 * of this program; the listener is notified, so that the violation is counted and logged with the events that led to
 * it:
 *
 * <ul>
 *   <li>{@link Invariant#ONE_ANSWER}: a request gets one final response. The client would take a second one for the
 *       response to the next request on the connection, so it is not written.
 *   <li>{@link Invariant#ANSWERED_IN_TIME}: the response comes within {@link #MAX_RESPONSE_DELAY_MS} of the client's
 *       timeout. A later one is still written, as the responses after it on the connection depend on it.
 *   <li>{@link Invariant#SENT_WITHIN_REQUEST}: no attempt begins more than {@link #MAX_SEND_DELAY_MS} after its request
 *       is completed, as no client would get its response. Attempts that wait for a connection are cancelled when their
 *       request is completed.
 *   <li>{@link Invariant#CLOSED_OWING_NOTHING}: this node does not close a client connection while requests on it are
 *       open, as the client would not know whether they were executed. Such a close is denied.
 *   <li>{@link Invariant#ENDED_OWING_NOTHING}: a process that ends by itself has responded to every request, as it can
 *       rely on running until SIGKILL, and all responses are due before that.
 *   <li>{@link Invariant#TAKEN_BEFORE_THE_END}: a node whose shutdown has ended accepts no request: it would be open
 *       when the process exits.
 * </ul>
 *
 * All methods are called on the event loop.
 */
final class LifecycleGuard {
    /** How long (ms) the node may stall between reading its clock and writing. */
    private static final double MAX_NODE_STALL_MS = 150;
    /** How late (ms) a response may be without a violation: up to this delay it is only worthless to the client. */
    private static final double MAX_RESPONSE_DELAY_MS = 500;
    /**
     * An attempt that is written more than this (ms) after its request was completed, for example because the client
     * has disconnected, counts as a lost request: an endpoint may execute it, but no client gets its response.
     */
    private static final double MAX_SEND_DELAY_MS = 100;

    /** Is notified of each violation of an invariant. */
    @FunctionalInterface
    interface ViolationListener {
        /**
         * An invariant is violated for the request with the client's id {@code requestId}, or for no single request if
         * that is null.
         */
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

    /** Whether the node may begin to listen: not after it has been told to shut down, even during its start. */
    boolean mayListen() {
        return state.isBeforeDraining();
    }

    /**
     * Whether the process may end now; a forced end is allowed even if it violates an invariant.
     *
     * @param mayLeaveClients whether no client's connection has to be waited for any more
     */
    boolean mayEnd(boolean mayLeaveClients, int openRequests, boolean forced) {
        boolean hasOpenRequests = openRequests > 0;
        if (forced && hasOpenRequests) {
            listener.onViolated(Invariant.ENDED_OWING_NOTHING, null);
        }
        return forced || (mayLeaveClients && !hasOpenRequests);
    }

    // ---- requests ----

    /** A request has been accepted. */
    void onRequestAccepted(String requestId) {
        if (state.hasEnded()) {
            listener.onViolated(Invariant.TAKEN_BEFORE_THE_END, requestId);
        }
    }

    /**
     * Whether a request may be given its final response now.
     *
     * @param completed whether the request needs no response any more
     * @param lateMs time (ms) since the client's timeout; negative before it
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

    /** Whether this node may close a client connection now; if not, the requests on it get their responses first. */
    boolean mayClose(CloseReason reason, int openRequests) {
        // no response can follow a truncated value, or reach a client that does not read
        boolean cannotRespond = reason == CloseReason.VALUE_BROKEN_OFF || reason == CloseReason.UNREAD;
        if (openRequests > 0 && !cannotRespond) {
            listener.onViolated(Invariant.CLOSED_OWING_NOTHING, null);
            return false;
        }
        return true;
    }

    // ---- attempts ----

    /** Returns why an attempt, the last of its request, may not be sent now; empty if it may. */
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
     * Returns why an attempt may not follow an earlier one of its request now; empty if it may.
     *
     * @param requestClass the class of the request, or null if the settings have no class of that name
     */
    Optional<SendDenial> denialOfRetry(RequestClass requestClass, Attempt earlier, Attempt next, double now) {
        boolean inFlight = !earlier.isEnded();
        if (inFlight && !capabilities.hedging()) {
            return Optional.of(SendDenial.COPY_OUT);
        }
        boolean mayHaveExecuted = inFlight || (earlier.outcome() != null && !earlier.outcome().provesNotExecuted);
        if (!mayHaveExecuted || (requestClass != null && requestClass.idempotency() == Idempotency.IDEMPOTENT)) {
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

    /** Whether the requests of a class must not be executed twice, whatever key they have. */
    boolean isExecutedOnce(String requestClass) {
        RequestClass found = requestClasses.get(requestClass);
        return found == null || found.idempotency() == Idempotency.NON_IDEMPOTENT;
    }

    /** Whether the requests of a class may have another attempt after so many, of which the last may be executed. */
    boolean mayRepeat(String requestClass, int attempts) {
        return attempts < capabilities.maxAttempts() && !isExecutedOnce(requestClass);
    }

    /** Whether two endpoints recognize each other's idempotency keys; false if an endpoint is unknown. */
    private static boolean inSameScope(RetryScope scope, EndpointDescriptor first, EndpointDescriptor second) {
        if (first == null || second == null) {
            return false;
        }
        return scope == RetryScope.ZONE ? first.zone().equals(second.zone()) : first.cell() == second.cell();
    }

    /** The last byte of an attempt has been written, this long (ms) after its request was completed, or 0. */
    void onAttemptWritten(String requestId, double afterCompletionMs) {
        if (afterCompletionMs > MAX_SEND_DELAY_MS) {
            listener.onViolated(Invariant.SENT_WITHIN_REQUEST, requestId);
        }
    }
}
