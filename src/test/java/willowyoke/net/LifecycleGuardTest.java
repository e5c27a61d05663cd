package willowyoke.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import willowyoke.Gateway;
import willowyoke.SettingsReader;
import willowyoke.net.LifecycleGuard.Denial;
import willowyoke.net.LifecycleGuard.Invariant;

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

    private static Gateway.RequestClass type(Gateway.Effect effect, Gateway.Group group) {
        return new Gateway.RequestClass("c", effect, group, 500, 1000, 1, 0, WINDOW, false);
    }

    private static Gateway.Server server(int cell, String zone) {
        return new Gateway.Server("s" + cell, cell, zone, Gateway.State.UP, "", 0, 1, 0);
    }

    /** An attempt sent at 0, that has ended so; null where it is out. */
    private static ServerPool.Attempt before(Gateway.Outcome outcome, Gateway.Server place) {
        ServerPool.Attempt attempt = new ServerPool.Attempt(null, 0, "s", 0, place);
        attempt.outcome = outcome;
        attempt.done = outcome != null;
        return attempt;
    }

    private Denial repeat(Gateway.Effect effect, Gateway.Outcome outcome, double now) {
        return guard.repeat(
                type(effect, Gateway.Group.ALL),
                before(outcome, null),
                new ServerPool.Attempt(null, 1, "t", now, null),
                now);
    }

    @Test
    void whatNeverRanMayBeRepeatedWhateverItsEffect() {
        for (Gateway.Effect effect : Gateway.Effect.values()) {
            for (Gateway.Outcome outcome :
                    List.of(Gateway.Outcome.NO_CONNECTION, Gateway.Outcome.FULL, Gateway.Outcome.NOT_SENT)) {
                assertNull(repeat(effect, outcome, 100), effect + " " + outcome);
            }
        }
    }

    @Test
    void whatMayHaveRunIsRepeatedOnlyWhereItsEffectAllows() {
        for (Gateway.Outcome outcome : List.of(
                Gateway.Outcome.RESET, Gateway.Outcome.TIMEOUT, Gateway.Outcome.ERROR, Gateway.Outcome.CANCELLED)) {
            assertNull(repeat(Gateway.Effect.SAFE, outcome, 100));
            assertNull(repeat(Gateway.Effect.KEYED, outcome, 100));
            assertEquals(Denial.NOT_REPEATABLE, repeat(Gateway.Effect.UNSAFE, outcome, 100));
        }
    }

    /** The decision may be older: a connection had to come up first, or the node was held up. */
    @Test
    void aKeyedOneIsNotRepeatedSoLateThatAHoldUpTakesItPastTheWindow() {
        assertNull(repeat(Gateway.Effect.KEYED, Gateway.Outcome.RESET, WINDOW - 151));
        assertEquals(Denial.WINDOW_OVER, repeat(Gateway.Effect.KEYED, Gateway.Outcome.RESET, WINDOW - 150));
    }

    @Test
    void aClassThatTheSettingsLackIsNotRepeated() {
        assertEquals(
                Denial.NOT_REPEATABLE,
                guard.repeat(
                        null, before(Gateway.Outcome.RESET, null), new ServerPool.Attempt(null, 1, "t", 1, null), 1));
    }

    @Test
    void noCopyGoesOutWhereNoneIsAllowed() {
        assertEquals(Denial.COPY_OUT, repeat(Gateway.Effect.SAFE, null, 100));
        LifecycleGuard copies = guard(true);
        ServerPool.Attempt next = new ServerPool.Attempt(null, 1, "t", 1, null);
        assertNull(copies.repeat(type(Gateway.Effect.SAFE, Gateway.Group.ALL), before(null, null), next, 1));
        assertEquals(
                Denial.NOT_REPEATABLE,
                copies.repeat(type(Gateway.Effect.UNSAFE, Gateway.Group.ALL), before(null, null), next, 1));
    }

    @Test
    void aKeyedOneStaysWithTheServersThatKnowItsKey() {
        ServerPool.Attempt first = before(Gateway.Outcome.RESET, server(1, "a"));
        for (Gateway.Server place : new Gateway.Server[] {server(2, "a"), server(1, "a"), server(3, "b"), null}) {
            ServerPool.Attempt next = new ServerPool.Attempt(null, 1, "t", 1, place);
            boolean cell = place != null && place.cell() == 1;
            boolean zone = place != null && place.zone().equals("a");
            assertEquals(
                    cell ? null : Denial.OTHER_GROUP,
                    guard.repeat(type(Gateway.Effect.KEYED, Gateway.Group.CELL), first, next, 1));
            assertEquals(
                    zone ? null : Denial.OTHER_GROUP,
                    guard.repeat(type(Gateway.Effect.KEYED, Gateway.Group.ZONE), first, next, 1));
            assertNull(guard.repeat(type(Gateway.Effect.KEYED, Gateway.Group.ALL), first, next, 1));
        }
    }

    @Test
    void statesHaveAnOrder() {
        assertTrue(guard.mayListen());
        assertTrue(guard.enter(Phase.DRAINING));
        assertFalse(guard.enter(Phase.SERVING));
        assertFalse(guard.enter(Phase.DRAINING));
        assertFalse(guard.mayListen());
        assertTrue(guard.enter(Phase.ENDED));
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
        guard.enter(Phase.ENDED);
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
