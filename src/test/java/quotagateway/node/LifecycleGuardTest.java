package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import quotagateway.config.SettingsReader;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.Invariant;
import quotagateway.lifecycle.SendDenial;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.upstream.Attempt;

/** Decisions of the guard, and the invariant violations that it reports. */
class LifecycleGuardTest {
    private static final double WINDOW_MS = 2000;

    private final List<Invariant> violations = new ArrayList<>();
    private final NodeStateMachine state = new NodeStateMachine((entered, responsesDueInMs) -> {});
    private final LifecycleGuard guard = guard(false);

    private LifecycleGuard guard(boolean hedging) {
        return new LifecycleGuard(
                SettingsReader.read(Map.of("limits.send_cap", "3", "limits.parallel_tries", Boolean.toString(hedging))),
                state,
                (invariant, request) -> violations.add(invariant));
    }

    private static RequestClass requestClass(Idempotency idempotency, RetryScope scope) {
        return new RequestClass("c", idempotency, scope, 500, 1000, 1, 0, WINDOW_MS, false);
    }

    private static EndpointDescriptor endpoint(int cell, String zone) {
        return new EndpointDescriptor("s" + cell, cell, zone, EndpointState.UP, "", 0, 1, 0);
    }

    /** Returns an attempt sent at time 0 that has ended with this outcome, or is in flight if the outcome is null. */
    private static Attempt previousAttempt(CallOutcome outcome, EndpointDescriptor endpoint) {
        Attempt attempt = new Attempt(null, 0, "s", 0, endpoint);
        attempt.recordOutcome(outcome);
        if (outcome != null) {
            attempt.end();
        }
        return attempt;
    }

    private Optional<SendDenial> denialOfRetry(Idempotency idempotency, CallOutcome outcome, double now) {
        return guard.denialOfRetry(
                requestClass(idempotency, RetryScope.ALL),
                previousAttempt(outcome, null),
                new Attempt(null, 1, "t", now, null),
                now);
    }

    @Test
    void unexecutedAttemptIsRetriedRegardlessOfIdempotency() {
        for (Idempotency idempotency : Idempotency.values()) {
            for (CallOutcome outcome : List.of(CallOutcome.NO_CONNECTION, CallOutcome.FULL, CallOutcome.NOT_SENT)) {
                assertEquals(Optional.empty(), denialOfRetry(idempotency, outcome, 100), idempotency + " " + outcome);
            }
        }
    }

    @Test
    void possiblyExecutedAttemptIsRetriedOnlyIfIdempotencyAllows() {
        for (CallOutcome outcome :
                List.of(CallOutcome.RESET, CallOutcome.TIMEOUT, CallOutcome.ERROR, CallOutcome.CANCELLED)) {
            assertEquals(Optional.empty(), denialOfRetry(Idempotency.IDEMPOTENT, outcome, 100));
            assertEquals(Optional.empty(), denialOfRetry(Idempotency.IDEMPOTENCY_KEY, outcome, 100));
            assertEquals(
                    Optional.of(SendDenial.NOT_REPEATABLE), denialOfRetry(Idempotency.NON_IDEMPOTENT, outcome, 100));
        }
    }

    /** The decision may be outdated: the connection had to be established first, or the node stalled. */
    @Test
    void keyedRetryIsDeniedWhenAStallCouldDelayItPastTheWindow() {
        assertEquals(Optional.empty(), denialOfRetry(Idempotency.IDEMPOTENCY_KEY, CallOutcome.RESET, WINDOW_MS - 151));
        assertEquals(
                Optional.of(SendDenial.WINDOW_OVER),
                denialOfRetry(Idempotency.IDEMPOTENCY_KEY, CallOutcome.RESET, WINDOW_MS - 150));
    }

    @Test
    void retryOfAnUnknownClassIsDenied() {
        assertEquals(
                Optional.of(SendDenial.NOT_REPEATABLE),
                guard.denialOfRetry(
                        null, previousAttempt(CallOutcome.RESET, null), new Attempt(null, 1, "t", 1, null), 1));
    }

    @Test
    void secondAttemptInFlightIsDeniedWithoutHedging() {
        assertEquals(Optional.of(SendDenial.COPY_OUT), denialOfRetry(Idempotency.IDEMPOTENT, null, 100));
        LifecycleGuard hedging = guard(true);
        Attempt next = new Attempt(null, 1, "t", 1, null);
        assertEquals(
                Optional.empty(),
                hedging.denialOfRetry(
                        requestClass(Idempotency.IDEMPOTENT, RetryScope.ALL), previousAttempt(null, null), next, 1));
        assertEquals(
                Optional.of(SendDenial.NOT_REPEATABLE),
                hedging.denialOfRetry(
                        requestClass(Idempotency.NON_IDEMPOTENT, RetryScope.ALL),
                        previousAttempt(null, null),
                        next,
                        1));
    }

    @Test
    void keyedRetryStaysInItsScope() {
        Attempt first = previousAttempt(CallOutcome.RESET, endpoint(1, "a"));
        for (EndpointDescriptor endpoint :
                new EndpointDescriptor[] {endpoint(2, "a"), endpoint(1, "a"), endpoint(3, "b"), null}) {
            Attempt next = new Attempt(null, 1, "t", 1, endpoint);
            boolean sameCell = endpoint != null && endpoint.cell() == 1;
            boolean sameZone = endpoint != null && endpoint.zone().equals("a");
            assertEquals(
                    sameCell ? Optional.empty() : Optional.of(SendDenial.OTHER_GROUP),
                    guard.denialOfRetry(requestClass(Idempotency.IDEMPOTENCY_KEY, RetryScope.CELL), first, next, 1));
            assertEquals(
                    sameZone ? Optional.empty() : Optional.of(SendDenial.OTHER_GROUP),
                    guard.denialOfRetry(requestClass(Idempotency.IDEMPOTENCY_KEY, RetryScope.ZONE), first, next, 1));
            assertEquals(
                    Optional.empty(),
                    guard.denialOfRetry(requestClass(Idempotency.IDEMPOTENCY_KEY, RetryScope.ALL), first, next, 1));
        }
    }

    @Test
    void statesAreEnteredOnceAndInOrder() {
        assertTrue(guard.mayListen());
        assertTrue(state.startDraining(0));
        assertFalse(state.startServing());
        assertFalse(state.startDraining(0));
        assertFalse(guard.mayListen());
        assertTrue(state.end());
        assertTrue(state.hasEnded());
        assertEquals(List.of(), violations);
    }

    @Test
    void processEndsWhenNoResponseIsDue() {
        assertFalse(guard.mayEnd(false, 0, false));
        assertFalse(guard.mayEnd(true, 1, false));
        assertTrue(guard.mayEnd(true, 0, false));
        assertTrue(guard.mayEnd(false, 0, true));
        assertEquals(List.of(), violations);
        assertTrue(guard.mayEnd(false, 1, true));
        assertEquals(List.of(Invariant.ENDED_OWING_NOTHING), violations);
    }

    @Test
    void eachViolationIsReported() {
        assertTrue(guard.mayRespond("01", false, 500));
        assertFalse(guard.mayRespond("01", true, 0));
        assertTrue(guard.mayRespond("01", false, 501));
        guard.onAttemptWritten("01", 100);
        guard.onAttemptWritten("01", 101);
        assertTrue(guard.mayClose(CloseReason.SHUTDOWN_IDLE, 0));
        assertTrue(guard.mayClose(CloseReason.VALUE_BROKEN_OFF, 2));
        assertFalse(guard.mayClose(CloseReason.SHUTDOWN_IDLE, 1));
        guard.onRequestAccepted("01");
        state.end();
        guard.onRequestAccepted("02");
        assertEquals(
                List.of(
                        Invariant.ONE_ANSWER,
                        Invariant.ANSWERED_IN_TIME,
                        Invariant.SENT_WITHIN_REQUEST,
                        Invariant.CLOSED_OWING_NOTHING,
                        Invariant.TAKEN_BEFORE_THE_END),
                violations);
    }
}
