package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quotagateway.config.SettingsReader;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.Invariant;
import quotagateway.lifecycle.NodeState;
import quotagateway.lifecycle.SendDenial;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.upstream.Attempt;

/** What the guard lets pass, and which violations it counts. */
class LifecycleGuardTest {
    private static final double WINDOW = 2000;

    private final List<Invariant> violations = new ArrayList<>();
    private final LifecycleGuard guard = guard(false);

    private LifecycleGuard guard(boolean copies) {
        return new LifecycleGuard(
                SettingsReader.read(Map.of("limits.send_cap", "3", "limits.parallel_tries", Boolean.toString(copies))),
                (invariant, request) -> violations.add(invariant));
    }

    private static RequestClass type(Idempotency effect, RetryScope group) {
        return new RequestClass("c", effect, group, 500, 1000, 1, 0, WINDOW, false);
    }

    private static EndpointDescriptor server(int cell, String zone) {
        return new EndpointDescriptor("s" + cell, cell, zone, EndpointState.UP, "", 0, 1, 0);
    }

    /** An attempt sent at 0, that has ended so; null where it is out. */
    private static Attempt before(CallOutcome outcome, EndpointDescriptor place) {
        Attempt attempt = new Attempt(null, 0, "s", 0, place);
        attempt.recordOutcome(outcome);
        if (outcome != null) {
            attempt.end();
        }
        return attempt;
    }

    private SendDenial repeat(Idempotency effect, CallOutcome outcome, double now) {
        return guard.repeat(
                type(effect, RetryScope.ALL), before(outcome, null), new Attempt(null, 1, "t", now, null), now);
    }

    @Test
    void whatNeverRanMayBeRepeatedWhateverItsEffect() {
        for (Idempotency effect : Idempotency.values()) {
            for (CallOutcome outcome : List.of(CallOutcome.NO_CONNECTION, CallOutcome.FULL, CallOutcome.NOT_SENT)) {
                assertNull(repeat(effect, outcome, 100), effect + " " + outcome);
            }
        }
    }

    @Test
    void whatMayHaveRunIsRepeatedOnlyWhereItsEffectAllows() {
        for (CallOutcome outcome :
                List.of(CallOutcome.RESET, CallOutcome.TIMEOUT, CallOutcome.ERROR, CallOutcome.CANCELLED)) {
            assertNull(repeat(Idempotency.IDEMPOTENT, outcome, 100));
            assertNull(repeat(Idempotency.IDEMPOTENCY_KEY, outcome, 100));
            assertEquals(SendDenial.NOT_REPEATABLE, repeat(Idempotency.NON_IDEMPOTENT, outcome, 100));
        }
    }

    /** The decision may be older: a connection had to come up first, or the node was held up. */
    @Test
    void aKeyedOneIsNotRepeatedSoLateThatAHoldUpTakesItPastTheWindow() {
        assertNull(repeat(Idempotency.IDEMPOTENCY_KEY, CallOutcome.RESET, WINDOW - 151));
        assertEquals(SendDenial.WINDOW_OVER, repeat(Idempotency.IDEMPOTENCY_KEY, CallOutcome.RESET, WINDOW - 150));
    }

    @Test
    void aClassThatTheSettingsLackIsNotRepeated() {
        assertEquals(
                SendDenial.NOT_REPEATABLE,
                guard.repeat(null, before(CallOutcome.RESET, null), new Attempt(null, 1, "t", 1, null), 1));
    }

    @Test
    void noCopyGoesOutWhereNoneIsAllowed() {
        assertEquals(SendDenial.COPY_OUT, repeat(Idempotency.IDEMPOTENT, null, 100));
        LifecycleGuard copies = guard(true);
        Attempt next = new Attempt(null, 1, "t", 1, null);
        assertNull(copies.repeat(type(Idempotency.IDEMPOTENT, RetryScope.ALL), before(null, null), next, 1));
        assertEquals(
                SendDenial.NOT_REPEATABLE,
                copies.repeat(type(Idempotency.NON_IDEMPOTENT, RetryScope.ALL), before(null, null), next, 1));
    }

    @Test
    void aKeyedOneStaysWithTheServersThatKnowItsKey() {
        Attempt first = before(CallOutcome.RESET, server(1, "a"));
        for (EndpointDescriptor place :
                new EndpointDescriptor[] {server(2, "a"), server(1, "a"), server(3, "b"), null}) {
            Attempt next = new Attempt(null, 1, "t", 1, place);
            boolean cell = place != null && place.cell() == 1;
            boolean zone = place != null && place.zone().equals("a");
            assertEquals(
                    cell ? null : SendDenial.OTHER_GROUP,
                    guard.repeat(type(Idempotency.IDEMPOTENCY_KEY, RetryScope.CELL), first, next, 1));
            assertEquals(
                    zone ? null : SendDenial.OTHER_GROUP,
                    guard.repeat(type(Idempotency.IDEMPOTENCY_KEY, RetryScope.ZONE), first, next, 1));
            assertNull(guard.repeat(type(Idempotency.IDEMPOTENCY_KEY, RetryScope.ALL), first, next, 1));
        }
    }

    @Test
    void statesHaveAnOrder() {
        assertTrue(guard.mayListen());
        assertTrue(guard.enter(NodeState.DRAINING));
        assertFalse(guard.enter(NodeState.SERVING));
        assertFalse(guard.enter(NodeState.DRAINING));
        assertFalse(guard.mayListen());
        assertTrue(guard.enter(NodeState.ENDED));
        assertTrue(guard.hasEnded());
        assertEquals(List.of(), violations);
    }

    @Test
    void theProcessEndsWhenNothingIsOwed() {
        assertFalse(guard.mayEnd(false, 0, false));
        assertFalse(guard.mayEnd(true, 1, false));
        assertTrue(guard.mayEnd(true, 0, false));
        assertTrue(guard.mayEnd(false, 0, true));
        assertEquals(List.of(), violations);
        assertTrue(guard.mayEnd(false, 1, true));
        assertEquals(List.of(Invariant.ENDED_OWING_NOTHING), violations);
    }

    @Test
    void eachBrokenInvariantIsCounted() {
        assertTrue(guard.mayAnswer("01", false, 500));
        assertFalse(guard.mayAnswer("01", true, 0));
        assertTrue(guard.mayAnswer("01", false, 501));
        guard.written("01", 100);
        guard.written("01", 101);
        assertTrue(guard.mayClose(CloseReason.SHUTDOWN_IDLE, 0));
        assertTrue(guard.mayClose(CloseReason.VALUE_BROKEN_OFF, 2));
        assertFalse(guard.mayClose(CloseReason.SHUTDOWN_IDLE, 1));
        guard.taking("01");
        guard.enter(NodeState.ENDED);
        guard.taking("02");
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
