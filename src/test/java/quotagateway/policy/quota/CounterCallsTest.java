package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.testing.PolicyFixtures;
import quotagateway.policy.testing.RecordingActions;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;

/** Tests when the counter may be called, with a timeout of 50 ms, and which handler gets the reply. */
class CounterCallsTest {
    private final EventClock clock = new EventClock(0);
    private final RecordingActions actions = new RecordingActions();
    private final CounterCircuitBreaker breaker = new CounterCircuitBreaker();

    private CounterCallWindow window(int gateways) {
        return new CounterCallWindow(
                PolicyFixtures.settings(gateways), clock, new TimerQueue(clock, actions), new Random(1));
    }

    private static void call(CounterCallWindow window, CallOutcome outcome, double tookMs) {
        window.onCall();
        window.onReply(outcome, tookMs);
    }

    @Test
    void initialWindowIsAShareOfSixteenCallsAndAtLeastOne() {
        assertEquals(8, window(2).window());
        assertEquals(1, window(100).window());
    }

    @Test
    void windowBoundsTheCallsInFlight() {
        CounterCallWindow window = window(8);
        assertTrue(window.hasRoom());
        window.onCall();
        assertFalse(window.hasRoomForProbe());
        window.onCall();
        assertFalse(window.hasRoom());
        window.onReply(CallOutcome.OK, 20);
        assertTrue(window.hasRoom());
    }

    @Test
    void quickReplyGrowsTheWindowOnlyIfItWasFull() {
        CounterCallWindow window = window(2);
        call(window, CallOutcome.OK, 1);
        assertEquals(8, window.window());
        for (int i = 0; i < 7; i++) {
            window.onCall();
        }
        call(window, CallOutcome.OK, 1);
        assertEquals(8 + 1 / 8.0, window.window());
    }

    @Test
    void slowAndLostCallsShrinkTheWindowAndALostCallIsFollowedByAPause() {
        CounterCallWindow window = window(2);
        call(window, CallOutcome.OK, 26);
        assertEquals(8 * 0.9, window.window(), 1e-9);
        assertTrue(window.hasRoom());
        call(window, CallOutcome.TIMEOUT, 50);
        assertEquals(8 * 0.9 * 0.7, window.window(), 1e-9);
        assertFalse(window.hasRoom());
        clock.advanceTo(75);
        assertTrue(window.hasRoom(), "the pause lasts half a timeout to one and a half timeouts");
    }

    @Test
    void brokenConnectionsAndErrorsDoNotChangeTheWindow() {
        CounterCallWindow window = window(2);
        call(window, CallOutcome.RESET, 1);
        call(window, CallOutcome.ERROR, 1);
        call(window, CallOutcome.NO_CONNECTION, 1);
        assertEquals(8, window.window());
    }

    @Test
    void windowIsAtLeastOneInASmallFleetAndASixteenthInALargeOne() {
        CounterCallWindow small = window(10);
        CounterCallWindow large = window(1000);
        for (int i = 0; i < 50; i++) {
            call(small, CallOutcome.TIMEOUT, 50);
            call(large, CallOutcome.TIMEOUT, 50);
        }
        assertEquals(1, small.window());
        assertEquals(1 / 16.0, large.window());
    }

    @Test
    void windowBelowOneMeansAPauseAfterEachCall() {
        CounterCallWindow window = window(1000);
        window.onCall();
        window.onReply(CallOutcome.OK, 26);
        assertTrue(window.window() < 1);
        window.onCall();
        window.onReply(CallOutcome.OK, 20);
        assertFalse(window.hasRoom());
        clock.advanceTo(1.5 * 50 / 0.9 + 1);
        assertTrue(window.hasRoom());
    }

    @Test
    void eightConsecutiveMissesOpenTheBreaker() {
        for (int i = 0; i < 7; i++) {
            breaker.onReply(CallOutcome.TIMEOUT, 100);
        }
        assertFalse(breaker.isOpen(100));
        breaker.onReply(CallOutcome.NO_CONNECTION, 100);
        assertTrue(breaker.isOpen(349));
        assertFalse(breaker.isOpen(350));
        assertTrue(breaker.isProbing());
        assertEquals(100, breaker.openSince());
    }

    @Test
    void repliesResetTheMissesAndBrokenConnectionsAreNotCounted() {
        for (int i = 0; i < 7; i++) {
            breaker.onReply(CallOutcome.TIMEOUT, 100);
        }
        breaker.onReply(CallOutcome.RESET, 100);
        breaker.onReply(CallOutcome.ERROR, 100);
        assertFalse(breaker.isProbing());
        breaker.onReply(CallOutcome.OK, 100);
        breaker.onReply(CallOutcome.TIMEOUT, 100);
        assertFalse(breaker.isProbing());
    }

    @Test
    void backoffDoublesUpToTwoSecondsAndKeepsTheStartOfTheOutage() {
        double now = 0;
        for (int i = 0; i < 8; i++) {
            breaker.onReply(CallOutcome.TIMEOUT, now);
        }
        for (double backoff : new double[] {250, 500, 1000, 2000, 2000}) {
            assertTrue(breaker.isOpen(now + backoff - 1));
            assertFalse(breaker.isOpen(now + backoff));
            now += backoff;
            breaker.onReply(CallOutcome.TIMEOUT, now);
        }
        assertEquals(0, breaker.openSince());
    }

    @Test
    void repliesOfOneNameGoToItsCallsInTheirOrder() {
        CounterCalls calls = new CounterCalls(actions, clock, window(2));
        List<String> replies = new ArrayList<>();
        calls.add(7, 1, 1000, null, (outcome, total) -> replies.add("first " + outcome + " " + total));
        calls.add(7, 2, 1000, null, (outcome, total) -> replies.add("second " + outcome + " " + total));
        assertEquals(List.of("add 1.0", "add 2.0"), actions.take());
        calls.onReply(7, CallOutcome.OK, 1, 1);
        calls.onReply(7, CallOutcome.TIMEOUT, 50, 0);
        assertEquals(List.of("first OK 1.0", "second TIMEOUT 0.0"), replies);
        assertNull(calls.onReply(7, CallOutcome.OK, 1, 3), "no call of this name waits for a reply");
        assertEquals(2, replies.size());
    }

    @Test
    void unresponsiveCounterIsNotCalledAndThenProbedByOneCall() {
        CounterCalls calls = new CounterCalls(actions, clock, window(2));
        for (int i = 0; i < 8; i++) {
            calls.add(i, 1, 1000, null, (outcome, total) -> {});
            calls.onReply(i, CallOutcome.NO_CONNECTION, 1, 0);
        }
        assertTrue(calls.isSuspended());
        assertFalse(calls.mayCall());
        clock.advanceTo(250);
        assertTrue(calls.mayCall());
        calls.add(9, 1, 1000, null, (outcome, total) -> {});
        assertFalse(calls.mayCall(), "one probe at a time");
        calls.onReply(9, CallOutcome.OK, 1, 1);
        assertTrue(calls.mayCall());
    }
}
