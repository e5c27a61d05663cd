package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.QuotaPlan;

/** Tests how many calls to the shared counter a gateway has in flight, and when it calls again. */
class CounterCallPacingTest {
    private static final CallOutcome OK = CallOutcome.OK;

    /**
     * A broken connection to the counter is no sign of overload: when calls slowed down for it, 9 in 10 were rejected.
     */
    @Test
    void brokenCounterConnectionsDoNotShrinkTheCallWindow() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 200; i++) {
            gateway.advanceTo(i * 250);
            gateway.request(2L * i, "read", "rate", "x" + i);
            gateway.replyToCounterCalls(CallOutcome.RESET);
            gateway.request(2 * i + 1, "read", "rate", "y" + i);
            gateway.replyToCounterCalls(OK);
        }
        gateway.advanceTo(51_000);
        gateway.replyToCounterCalls(OK);
        long before = gateway.countActions("count 1.0");
        for (int i = 1000; i < 1060; i++) {
            gateway.request(i, "read", "rate", "z" + i);
        }
        assertTrue(
                gateway.countActions("count 1.0") - before >= 7,
                "calls: " + (gateway.countActions("count 1.0") - before));
    }

    @Test
    void rejectingCounterIsNotFlooded() {
        PolicyHarness gateway = new PolicyHarness();
        QuotaScenarios.sendsPerSecond(gateway, CallOutcome.FULL, 0);
        assertTrue(gateway.countActions("count") < 12 * 4 * 2, "calls: " + gateway.countActions("count"));
    }

    /**
     * Fourteen gateways made new calls while their late calls were queued at the counter: half of all calls were late.
     */
    @Test
    void timedOutCallHasTimeToLeaveTheCounterQueue() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.gatewayCount = 1000; // the initial window is one call
        gateway.start().listEndpoints(2000);
        for (int i = 0; i < 4; i++) {
            gateway.request(i, "read", "rate", "c" + i);
        }
        gateway.advanceTo(50);
        assertEquals(1, gateway.countActions("count"));
        gateway.replyToCounterCalls(CallOutcome.TIMEOUT);
        gateway.advanceTo(74);
        assertEquals(1, gateway.countActions("count"), "no new call for half of the timeout of 50 ms: " + gateway.log);
        gateway.advanceTo(126);
        assertEquals(2, gateway.countActions("count"), "the next call follows soon without an event: " + gateway.log);
    }

    /** Sixty gateways had one call in flight each: two in three calls were late, as they queued at the counter. */
    @Test
    void callsArePausedIfOneCallPerGatewayIsTooMany() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.gatewayCount = 1000;
        gateway.start().listEndpoints(2000);
        assertTrue(callsPerSecond(gateway, 45) <= 5, "replies close to the timeout of 50 ms show a queue");
        assertTrue(callsPerSecond(gateway, 5) >= 15, "quick replies show no queue; log lines: " + gateway.log.size());
    }

    /**
     * After an outage of the counter of some seconds, a fleet of three gateways paused for a second and more per call.
     */
    @Test
    void smallFleetDoesNotPauseCallsAfterAnOutage() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(100);
        for (int i = 0; i < 300; i++) {
            gateway.advanceTo(i * 20);
            gateway.request(i, "read", "rate", "c" + i);
            gateway.replyToCounterCalls(CallOutcome.TIMEOUT);
        }
        while (gateway.countActions("count") == 0 || gateway.counterCalls.isEmpty()) {
            gateway.advanceTo(gateway.now + 20);
            gateway.request((long) gateway.now, "read", "rate", "d" + gateway.now);
        }
        gateway.replyToCounterCalls(OK);
        long before = gateway.countActions("count");
        for (int i = 0; i < 100; i++) {
            gateway.advanceTo(gateway.now + 10);
            gateway.request(100_000 + i, "read", "rate", "e" + i);
            gateway.replyToCounterCalls(OK);
        }
        assertTrue(
                gateway.countActions("count") - before >= 50,
                "calls in a second: " + (gateway.countActions("count") - before));
    }

    /** Returns the calls per second in the last 2 s of 12 s of requests of new customers. */
    private static double callsPerSecond(PolicyHarness gateway, double took) {
        double from = gateway.now;
        long before = 0;
        for (double t = from; t < from + 12000; t += took) {
            gateway.advanceTo(t);
            before = t < from + 10000 ? gateway.countActions("count") : before;
            gateway.request((long) t, "read", "rate", "c" + t);
            while (!gateway.counterCalls.isEmpty()) {
                PolicyHarness.CounterCall call = gateway.counterCalls.remove(0);
                gateway.advanceTo(gateway.now + took);
                gateway.policy.onCounterReply(gateway.now, call.name(), OK, took, call.total());
            }
        }
        return (gateway.countActions("count") - before) / 2.0;
    }

    /** A hundred gateways that read an empty quota twice a second left the counter no capacity for other calls. */
    @Test
    void emptyQuotaIsReadLessOftenIfManyGatewaysShareIt() {
        for (int spread : List.of(2, 100)) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.gatewayCount = 1000; // the initial window is one call
            gateway.plans = List.of(new QuotaPlan("slow", 1, 8, 0, 1, 0, 1, 0, 0, 0));
            gateway.start().listEndpoints(2000);
            gateway.request(1, "read", "slow", "c", 2, spread);
            gateway.replyToCounterCalls(OK);
            gateway.otherGatewaysClaim(7);
            gateway.request(2, "read", "slow", "c", 2, spread);
            while (!gateway.counterCalls.isEmpty()) {
                gateway.replyToCounterCalls(OK);
            }
            gateway.log.clear();
            gateway.advanceTo(600);
            gateway.request(3, "read", "slow", "c", 2, spread);
            assertEquals(spread == 2 ? 1 : 0, gateway.countActions("count"), spread + ": " + gateway.log);
        }
    }

    /**
     * Calls were bounded per re-split period and were all made at its boundary: a counter that takes 9 ms per call
     * answered most of them after their timeout. The window now allows as many calls as the counter answers in time.
     */
    @Test
    void slowCounterGetsFewCallsAtATime() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(100);
        int maxInFlight = 0;
        double counterFreeAt = 0;
        java.util.ArrayDeque<Double> completionTimes = new java.util.ArrayDeque<>();
        List<Double> durations = new ArrayList<>();
        for (int t = 0; t < 8000; t++) {
            gateway.advanceTo(t);
            gateway.request(t, "read", "big", "c" + t % 40);
            while (completionTimes.size() < gateway.counterCalls.size()) { // 9 ms per call, sequentially
                counterFreeAt = Math.max(counterFreeAt, t) + 9;
                completionTimes.add(counterFreeAt);
            }
            if (t > 4000) {
                maxInFlight = Math.max(maxInFlight, gateway.counterCalls.size());
            }
            while (!completionTimes.isEmpty() && completionTimes.peek() <= t) {
                double took = 9 * gateway.counterCalls.size(); // approximate: the calls queued after it came later
                durations.add(took);
                PolicyHarness.CounterCall call = gateway.counterCalls.remove(0);
                gateway.policy.onCounterReply(t, call.name(), took > 50 ? CallOutcome.TIMEOUT : OK, took, call.total());
                completionTimes.poll();
            }
            for (int k = Math.max(0, t - 500); k <= t; k++) { // also answers requests held in the meantime
                gateway.endAttempt(k, 0, OK);
            }
        }
        assertTrue(maxInFlight <= 8, "calls in flight: " + maxInFlight);
        assertTrue(durations.size() > 700, "the counter is kept busy, replies: " + durations.size());
        assertTrue(
                gateway.countActions("refuse") < 200,
                "rejected although no quota is short: " + gateway.countActions("refuse"));
    }
}
