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

/** When the counter may be called (a reply is waited for 50 ms), and who gets the reply. */
class CounterCallsTest {
    private final EventClock clock = new EventClock(0);
    private final RecordingActions host = new RecordingActions();
    private final CounterSilence silence = new CounterSilence();

    private CounterCallWindow window(int gateways) {
        return new CounterCallWindow(
                PolicyFixtures.settings(gateways), clock, new TimerQueue(clock, host), new Random(1));
    }

    private static void call(CounterCallWindow window, CallOutcome outcome, double tookMs) {
        window.onCall();
        window.onReply(outcome, tookMs);
    }

    @Test
    void allGatewaysTogetherBeginWithSixteenCalls() {
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
    void quickReplyGrowsTheWindowOnlyWhereItWasUsedUp() {
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
    void slowAndLostCallsShrinkTheWindowAndALostOneIsFollowedByAPause() {
        CounterCallWindow window = window(2);
        call(window, CallOutcome.OK, 26);
        assertEquals(8 * 0.9, window.window(), 1e-9);
        assertTrue(window.hasRoom());
        call(window, CallOutcome.TIMEOUT, 50);
        assertEquals(8 * 0.9 * 0.7, window.window(), 1e-9);
        assertFalse(window.hasRoom());
        clock.advanceTo(75);
        assertTrue(window.hasRoom(), "half a time limit to one and a half");
    }

    @Test
    void brokenConnectionsAndErrorsLeaveTheWindow() {
        CounterCallWindow window = window(2);
        call(window, CallOutcome.RESET, 1);
        call(window, CallOutcome.ERROR, 1);
        call(window, CallOutcome.NO_CONNECTION, 1);
        assertEquals(8, window.window());
    }

    @Test
    void smallTierKeepsOneCallALargeOneASixteenth() {
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
    void windowBelowOneIsAPauseAfterEachCall() {
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
    void eightMissesInARowAreASilence() {
        for (int i = 0; i < 7; i++) {
            silence.onReply(CallOutcome.TIMEOUT, 100);
        }
        assertFalse(silence.isSilent(100));
        silence.onReply(CallOutcome.NO_CONNECTION, 100);
        assertTrue(silence.isSilent(349));
        assertFalse(silence.isSilent(350));
        assertTrue(silence.isProbing());
        assertEquals(100, silence.silentSince());
    }

    @Test
    void repliesEndTheMissesAndBrokenConnectionsAreNone() {
        for (int i = 0; i < 7; i++) {
            silence.onReply(CallOutcome.TIMEOUT, 100);
        }
        silence.onReply(CallOutcome.RESET, 100);
        silence.onReply(CallOutcome.ERROR, 100);
        assertFalse(silence.isProbing());
        silence.onReply(CallOutcome.OK, 100);
        silence.onReply(CallOutcome.TIMEOUT, 100);
        assertFalse(silence.isProbing());
    }

    @Test
    void backoffDoublesToTwoSecondsAndSilenceBeganWithTheFirst() {
        double now = 0;
        for (int i = 0; i < 8; i++) {
            silence.onReply(CallOutcome.TIMEOUT, now);
        }
        for (double backoff : new double[] {250, 500, 1000, 2000, 2000}) {
            assertTrue(silence.isSilent(now + backoff - 1));
            assertFalse(silence.isSilent(now + backoff));
            now += backoff;
            silence.onReply(CallOutcome.TIMEOUT, now);
        }
        assertEquals(0, silence.silentSince());
    }

    @Test
    void repliesOfOneNameGoToItsCallsInTheirOrder() {
        CounterCalls calls = new CounterCalls(host, clock, window(2));
        List<String> replies = new ArrayList<>();
        calls.add(7, 1, 1000, null, (outcome, total) -> replies.add("first " + outcome + " " + total));
        calls.add(7, 2, 1000, null, (outcome, total) -> replies.add("second " + outcome + " " + total));
        assertEquals(List.of("add 1.0", "add 2.0"), host.take());
        calls.onReply(7, CallOutcome.OK, 1, 1);
        calls.onReply(7, CallOutcome.TIMEOUT, 50, 0);
        assertEquals(List.of("first OK 1.0", "second TIMEOUT 0.0"), replies);
        assertNull(calls.onReply(7, CallOutcome.OK, 1, 3), "no such call");
        assertEquals(2, replies.size());
    }

    @Test
    void silentCounterIsNotCalledAndThenProbedByOneCall() {
        CounterCalls calls = new CounterCalls(host, clock, window(2));
        for (int i = 0; i < 8; i++) {
            calls.add(i, 1, 1000, null, (outcome, total) -> {});
            calls.onReply(i, CallOutcome.NO_CONNECTION, 1, 0);
        }
        assertTrue(calls.isSilent());
        assertFalse(calls.mayCall());
        clock.advanceTo(250);
        assertTrue(calls.mayCall());
        calls.add(9, 1, 1000, null, (outcome, total) -> {});
        assertFalse(calls.mayCall(), "one at a time");
        calls.onReply(9, CallOutcome.OK, 1, 1);
        assertTrue(calls.mayCall());
    }
}
