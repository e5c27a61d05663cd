package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.QuotaPlan;

/** How many calls to the shared counter a gateway has in flight, and when it calls again. */
class CounterCallPacingTest {
    private static final CallOutcome OK = CallOutcome.OK;

    /** A connection to the counter that breaks is no crowding: slowing down for it refused nine in ten. */
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
    void counterThatRejectsIsNotFlooded() {
        PolicyHarness gateway = new PolicyHarness();
        QuotaScenarios.sendsPerSecond(gateway, CallOutcome.FULL, 0);
        assertTrue(gateway.countActions("count") < 12 * 4 * 2, "calls: " + gateway.countActions("count"));
    }

    /** Fourteen gateways each called anew while their late calls stood in line: half of all were late. */
    @Test
    void callThatTimedOutIsGivenTimeToLeaveTheCountersQueue() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.gatewayCount = 1000; // one call at a time at first
        gateway.start().listEndpoints(2000);
        for (int i = 0; i < 4; i++) {
            gateway.request(i, "read", "rate", "c" + i);
        }
        gateway.advanceTo(50);
        assertEquals(1, gateway.countActions("count"));
        gateway.replyToCounterCalls(CallOutcome.TIMEOUT);
        gateway.advanceTo(74);
        assertEquals(1, gateway.countActions("count"), "nothing new for half of the limit of 50 ms: " + gateway.log);
        gateway.advanceTo(126);
        assertEquals(2, gateway.countActions("count"), "and the next by itself soon behind: " + gateway.log);
    }

    /** Sixty gateways with one call out each: two in three were late, as the counter had a line of them. */
    @Test
    void callsArePausedWhereOneOfEachGatewayIsTooMany() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.gatewayCount = 1000;
        gateway.start().listEndpoints(2000);
        assertTrue(callsASecond(gateway, 45) <= 5, "answers close to the limit of 50 ms: a line");
        assertTrue(callsASecond(gateway, 5) >= 15, "and none: " + gateway.log.size());
    }

    /** A counter that was away for some seconds left a gateway of three with pauses of a second and more. */
    @Test
    void smallTierDoesNotPauseCallsAfterASilence() {
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
                "in a second: " + (gateway.countActions("count") - before));
    }

    /** In the last 2 s of 12 s of requests for customers not seen before. */
    private static double callsASecond(PolicyHarness gateway, double took) {
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

    /** A hundred gateways that read an empty store twice a second left the counter nothing else to do. */
    @Test
    void emptyQuotaIsReadAgainLaterWhereManyGatewaysShareIt() {
        for (int spread : List.of(2, 100)) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.gatewayCount = 1000; // one call at a time at first
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
     * Calls were bounded in number for each subperiod, and all came at its edge: a counter that takes 9 ms
     * for one answered most of them past their limit. Now so many are out as it answers in time.
     */
    @Test
    void slowCounterGetsFewCallsAtATime() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(100);
        int most = 0;
        double free = 0;
        java.util.ArrayDeque<Double> done = new java.util.ArrayDeque<>();
        List<Double> late = new ArrayList<>();
        for (int t = 0; t < 8000; t++) {
            gateway.advanceTo(t);
            gateway.request(t, "read", "big", "c" + t % 40);
            while (done.size() < gateway.counterCalls.size()) { // the counter takes 9 ms for each, one behind another
                free = Math.max(free, t) + 9;
                done.add(free);
            }
            if (t > 4000) {
                most = Math.max(most, gateway.counterCalls.size());
            }
            while (!done.isEmpty() && done.peek() <= t) {
                double took = 9 * gateway.counterCalls.size(); // about: those behind it have come since
                late.add(took);
                PolicyHarness.CounterCall call = gateway.counterCalls.remove(0);
                gateway.policy.onCounterReply(t, call.name(), took > 50 ? CallOutcome.TIMEOUT : OK, took, call.total());
                done.poll();
            }
            for (int k = Math.max(0, t - 500); k <= t; k++) { // what was held meanwhile is answered too
                gateway.endAttempt(k, 0, OK);
            }
        }
        assertTrue(most <= 8, "out at a time: " + most);
        assertTrue(late.size() > 700, "and it is kept busy: " + late.size());
        assertTrue(
                gateway.countActions("refuse") < 200,
                "refused though none is short: " + gateway.countActions("refuse"));
    }
}
