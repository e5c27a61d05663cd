package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.IncomingRequest;

/**
 * How units are claimed from the counter and shared by the gateways. The plan "rate" has 8 units a second and a burst
 * of 8, which is 2 units a re-split period.
 */
class QuotaClaimTest {
    private static final CallOutcome OK = CallOutcome.OK;

    @Test
    void firstRequestIsClaimedAtOnceAndWaitsForTheTotal() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        gateway.request(1, "read", "rate", "c");
        assertEquals(0, gateway.countActions("send"), "no part has been given yet");
        assertEquals(1, gateway.countActions("count 1.0"), "its weight");
        gateway.replyToCounterCalls(OK);
        assertEquals(1, gateway.countActions("send 1"));
    }

    @Test
    void requestsBeyondTheBurstWaitForTheRate() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 20; i++) {
            gateway.request(i, "read", "rate", "c");
        }
        gateway.replyToCounterCalls(OK);
        gateway.replyToCounterCalls(OK);
        assertEquals(8, gateway.countActions("send"), "the burst of 8");
        long before = gateway.countActions("send");
        gateway.advanceTo(260);
        assertTrue(
                gateway.countActions("send") - before >= 1 && gateway.countActions("send") - before <= 3,
                "D = 2 a subperiod");
    }

    /** All that is held was added, and most of it taken off again: two calls where none had been of use. */
    @Test
    void noMoreIsClaimedThanTheLastReadingLeaves() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 20; i++) {
            gateway.request(i, "read", "rate", "c");
        }
        gateway.replyToCounterCalls(OK);
        assertEquals(1, gateway.countActions("count 10.0"), "7 in the store and what comes until they are of no use");
        gateway.replyToCounterCalls(OK);
        gateway.advanceTo(440);
        assertEquals(0, gateway.countActions("count -"), "nothing to give back: " + gateway.log);
    }

    @Test
    void claimedUnitsThatOthersTookMeanwhileAreReturned() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 20; i++) {
            gateway.request(i, "read", "rate", "c");
        }
        gateway.otherGatewaysClaim(4);
        gateway.replyToCounterCalls(OK);
        gateway.replyToCounterCalls(OK);
        assertEquals(4, gateway.countActions("send"), "what is left of the burst");
        assertEquals(1, gateway.countActions("count -4.0"), gateway.log.toString());
    }

    @Test
    void gatewayAloneTakesTheWholeQuota() {
        assertEquals(8, QuotaScenarios.sendsPerSecond(new PolicyHarness(), OK, 0), 0.8);
    }

    @Test
    void quotaUsedByOtherGatewaysIsNotAdmitted() {
        assertEquals(2, QuotaScenarios.sendsPerSecond(new PolicyHarness(), OK, 6), 0.9);
    }

    /** A give-back that was turned away was added once more in place of taken off with the next call. */
    @Test
    void rejectedReturnOfUnitsIsMadeUpForByTheNextCall() {
        double[] given = afterGiveBack(OK);
        for (CallOutcome outcome : List.of(CallOutcome.FULL, CallOutcome.RESET)) {
            double[] turned = afterGiveBack(outcome);
            assertEquals(given[0], turned[0]);
            assertEquals(given[1] + given[0], turned[1], "the next call takes it off too");
        }
    }

    /** What was given back of a claim past the store, and the next amount added once that had ended. */
    private static double[] afterGiveBack(CallOutcome outcome) {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 20; i++) {
            gateway.request(i, "read", "rate", "c");
        }
        gateway.otherGatewaysClaim(4);
        gateway.replyToCounterCalls(OK); // the claim of the first
        gateway.replyToCounterCalls(OK); // of the rest
        assertEquals(1, gateway.counterCalls.size(), gateway.log.toString());
        double back = Double.parseDouble(gateway.log.stream()
                .filter(l -> l.startsWith("count "))
                .reduce((p, l) -> l)
                .orElseThrow()
                .substring("count ".length()));
        assertTrue(back < 0, gateway.log.toString());
        gateway.replyToCounterCalls(outcome);
        gateway.log.clear();
        gateway.advanceTo(1500);
        gateway.request(50, "read", "rate", "c");
        return new double[] {
            back,
            Double.parseDouble(gateway.log.stream()
                    .filter(l -> l.startsWith("count "))
                    .findFirst()
                    .orElseThrow()
                    .substring("count ".length()))
        };
    }

    @Test
    void claimThatTimedOutIsTakenAsAddedByTheNext() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        gateway.request(1, "read", "rate", "c");
        gateway.replyToCounterCalls(CallOutcome.TIMEOUT);
        gateway.advanceTo(300);
        assertEquals(1, gateway.countActions("count 0.0"), "the weight is on the counter already");
        gateway.replyToCounterCalls(OK);
        assertEquals(1, gateway.countActions("send 1"));
    }

    @Test
    void hundredGatewaysKeepTheQuotaAndShareItByDemand() {
        Map<Long, Double> counter = new HashMap<>();
        List<PolicyHarness> all = new ArrayList<>();
        for (int n = 0; n < 100; n++) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.gatewayIndex = n;
            gateway.gatewayCount = 100;
            gateway.counter = counter;
            all.add(gateway.start().listEndpoints(400));
        }
        long id = 0;
        for (int t = 0; t < 20000; t += 40) {
            for (PolicyHarness gateway : all) {
                gateway.advanceTo(t);
            }
            PolicyHarness gateway = all.get(t % 160 == 0 ? 7 : (int) (id % 50)); // gateway 7 has a quarter and more
            gateway.policy.onRequest(t, new IncomingRequest(id, "read", "rate", "c", 2000, 1, 100, 0, false));
            gateway.replyToCounterCalls(OK);
            gateway.endAttempt(id++, 0, OK);
        }
        long sent =
                all.stream().mapToLong(gateway -> gateway.countActions("send")).sum();
        assertTrue(sent <= 8 + 8 * 20 + 2 && sent > 8 * 20 * 0.8, "burst 8 and 8 a second for 20 s: " + sent);
        assertTrue(
                all.get(7).countActions("send") > sent / 8.0,
                "weight: " + all.get(7).countActions("send"));
    }

    @Test
    void newCustomerOnThreeHundredGatewaysDoesNotExceedItsBurst() {
        Map<Long, Double> counter = new HashMap<>();
        long sent = 0;
        for (int n = 0; n < 300; n++) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.gatewayIndex = n;
            gateway.gatewayCount = 300;
            gateway.counter = counter;
            gateway.start().listEndpoints(8);
            gateway.policy.onRequest(0, new IncomingRequest(n, "read", "rate", "c", 2000, 1, 300, 0, false));
            gateway.replyToCounterCalls(OK);
            sent += gateway.countActions("send");
        }
        assertEquals(8, sent);
    }

    @Test
    void sameEventsGiveTheSameActions() {
        PolicyHarness one = new PolicyHarness();
        PolicyHarness two = new PolicyHarness();
        QuotaScenarios.sendsPerSecond(one, OK, 3);
        QuotaScenarios.sendsPerSecond(two, OK, 3);
        assertEquals(one.log, two.log);
        assertTrue(one.log.size() > 100);
    }
}
