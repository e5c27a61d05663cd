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
 * Tests how units are claimed from the counter and shared by the gateways. The plan "rate" has a burst of 8 and 8 units
 * a second, which is 2 units per re-split period.
 */
class QuotaClaimTest {
    private static final CallOutcome OK = CallOutcome.OK;

    @Test
    void firstRequestIsClaimedImmediatelyAndWaitsForTheReply() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        gateway.request(1, "read", "rate", "c");
        assertEquals(0, gateway.countActions("send"), "no unit has been granted yet");
        assertEquals(1, gateway.countActions("count 1.0"), "the unit of the request is claimed");
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
                "2 units per re-split period");
    }

    /** The units of all waiting requests were claimed and most were returned: two calls where none was of use. */
    @Test
    void noMoreIsClaimedThanTheLastReadingLeaves() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 20; i++) {
            gateway.request(i, "read", "rate", "c");
        }
        gateway.replyToCounterCalls(OK);
        assertEquals(1, gateway.countActions("count 10.0"), "7 units left and 3 that accrue by the latest start");
        gateway.replyToCounterCalls(OK);
        gateway.advanceTo(440);
        assertEquals(0, gateway.countActions("count -"), "no units to return: " + gateway.log);
    }

    @Test
    void claimedUnitsTakenByOthersInTheMeantimeAreReturned() {
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
    void gatewayWithAllRequestsUsesTheCompleteQuota() {
        assertEquals(8, QuotaScenarios.sendsPerSecond(new PolicyHarness(), OK, 0), 0.8);
    }

    @Test
    void quotaUsedByOtherGatewaysIsNotAdmitted() {
        assertEquals(2, QuotaScenarios.sendsPerSecond(new PolicyHarness(), OK, 6), 0.9);
    }

    /** The units of a rejected return were added again instead of subtracted with the next call. */
    @Test
    void rejectedReturnOfUnitsIsRepeatedWithTheNextCall() {
        double[] accepted = returnedAndNextAmount(OK);
        for (CallOutcome outcome : List.of(CallOutcome.FULL, CallOutcome.RESET)) {
            double[] rejected = returnedAndNextAmount(outcome);
            assertEquals(accepted[0], rejected[0]);
            assertEquals(accepted[1] + accepted[0], rejected[1], "the next call also subtracts the rejected return");
        }
    }

    /** Returns the amount that returns part of a claim beyond the quota, and the next amount added after that call. */
    private static double[] returnedAndNextAmount(CallOutcome outcome) {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 20; i++) {
            gateway.request(i, "read", "rate", "c");
        }
        gateway.otherGatewaysClaim(4);
        gateway.replyToCounterCalls(OK); // the claim of the first request
        gateway.replyToCounterCalls(OK); // the claim of the other requests
        assertEquals(1, gateway.counterCalls.size(), gateway.log.toString());
        double returnedAmount = Double.parseDouble(gateway.log.stream()
                .filter(line -> line.startsWith("count "))
                .reduce((previous, line) -> line)
                .orElseThrow()
                .substring("count ".length()));
        assertTrue(returnedAmount < 0, gateway.log.toString());
        gateway.replyToCounterCalls(outcome);
        gateway.log.clear();
        gateway.advanceTo(1500);
        gateway.request(50, "read", "rate", "c");
        return new double[] {
            returnedAmount,
            Double.parseDouble(gateway.log.stream()
                    .filter(line -> line.startsWith("count "))
                    .findFirst()
                    .orElseThrow()
                    .substring("count ".length()))
        };
    }

    @Test
    void timedOutClaimCountsAsAddedForTheNextClaim() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        gateway.request(1, "read", "rate", "c");
        gateway.replyToCounterCalls(CallOutcome.TIMEOUT);
        gateway.advanceTo(300);
        assertEquals(1, gateway.countActions("count 0.0"), "the unit is in the total already");
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
            PolicyHarness gateway = all.get(t % 160 == 0 ? 7 : (int) (id % 50)); // gateway 7 gets over a quarter
            gateway.policy.onRequest(t, new IncomingRequest(id, "read", "rate", "c", 2000, 1, 100, 0, false));
            gateway.replyToCounterCalls(OK);
            gateway.endAttempt(id++, 0, OK);
        }
        long sent =
                all.stream().mapToLong(gateway -> gateway.countActions("send")).sum();
        assertTrue(sent <= 8 + 8 * 20 + 2 && sent > 8 * 20 * 0.8, "burst 8 and 8 a second for 20 s: " + sent);
        assertTrue(
                all.get(7).countActions("send") > sent / 8.0,
                "sent by gateway 7: " + all.get(7).countActions("send"));
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
        PolicyHarness first = new PolicyHarness();
        PolicyHarness second = new PolicyHarness();
        QuotaScenarios.sendsPerSecond(first, OK, 3);
        QuotaScenarios.sendsPerSecond(second, OK, 3);
        assertEquals(first.log, second.log);
        assertTrue(first.log.size() > 100);
    }
}
