package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;

/** Tests what is admitted while the shared counter does not respond, and after it responds again. */
class CounterOutageTest {
    private static final CallOutcome OK = CallOutcome.OK;

    @Test
    void withoutCounterRepliesTheEvenShareIsAdmitted() {
        double rate = QuotaScenarios.sendsPerSecond(new PolicyHarness(), CallOutcome.NO_CONNECTION, 0);
        assertTrue(rate > 2 && rate < 5, "the even share is 4 a second: " + rate);
    }

    /** Eight consecutive broken connections were treated as an outage of the counter: it was not called for 2 s. */
    @Test
    void brokenCounterConnectionsAreNotAnOutage() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 20; i++) {
            gateway.request(i, "read", "rate", "x" + i);
            gateway.replyToCounterCalls(CallOutcome.RESET);
        }
        gateway.request(20, "read", "rate", "y");
        assertEquals(21, gateway.countActions("count 1.0"), "the counter is still called");
    }

    /**
     * Two gateways receive unequal parts of a customer's requests, which exceed its quota. During an outage, shares by
     * the units granted before add up to the quota; shares by the units requested were up to twice the quota.
     */
    @Test
    void sharesOfAllGatewaysInAnOutageDoNotExceedTheQuota() {
        List<PolicyHarness> both = QuotaScenarios.twoGateways();
        long id = 0;
        for (int t = 0; t < 16_000; t += 20) {
            for (PolicyHarness gateway : both) {
                gateway.advanceTo(t);
                gateway.replyToCounterCalls(t < 6000 ? OK : CallOutcome.NO_CONNECTION);
            }
            PolicyHarness gateway = both.get(t % 80 == 0 ? 1 : 0);
            gateway.request(id, "read", "rate", "c");
            gateway.replyToCounterCalls(t < 6000 ? OK : CallOutcome.NO_CONNECTION);
            for (long k = Math.max(0, id++ - 60); k < id; k++) { // answers what was sent
                both.get(0).endAttempt(k, 0, OK);
                both.get(1).endAttempt(k, 0, OK);
            }
            if (t == 8000) {
                both.forEach(each -> each.log.clear());
            }
        }
        long sent = both.get(0).countActions("send") + both.get(1).countActions("send");
        assertTrue(sent > 50 && sent <= 8 * 8 + 2, "8 a second for 8 s: " + sent);
    }

    /** Requests moved during an outage: a gateway that had few before limited the new ones to its old share. */
    @Test
    void shareInAnOutageSoonBecomesTheEvenShare() {
        List<PolicyHarness> both = QuotaScenarios.twoGateways();
        long before = 0;
        for (int t = 0; t < 10_000; t += 20) {
            CallOutcome outcome = t < 6000 ? OK : CallOutcome.NO_CONNECTION;
            for (PolicyHarness gateway : both) {
                gateway.advanceTo(t);
                gateway.replyToCounterCalls(outcome);
            }
            PolicyHarness gateway = both.get(t >= 6000 || t % 200 == 0 ? 1 : 0);
            gateway.request(t, "read", "rate", "c");
            gateway.replyToCounterCalls(outcome);
            for (long k = Math.max(0, t - 1000); k <= t; k += 20) {
                both.get(0).endAttempt(k, 0, OK);
                both.get(1).endAttempt(k, 0, OK);
            }
            before = t == 8000 ? both.get(1).countActions("send") : before;
        }
        long sent = both.get(1).countActions("send") - before;
        assertTrue(sent >= 3 && sent <= 9, "up to 4 a second for 2 s: " + sent);
    }

    /** After a counter came back empty, each gateway granted the units that others had spent in the meantime. */
    @Test
    void unitsUsedByOthersInAnOutageAreNotGrantedAgain() {
        List<PolicyHarness> both = QuotaScenarios.twoGateways();
        long before = 0;
        for (int t = 0; t < 12_000; t += 20) {
            CallOutcome outcome = t < 6000 || t >= 11_000 ? OK : CallOutcome.NO_CONNECTION;
            if (t == 11_000) {
                both.get(0).counter.clear();
                before = both.get(0).countActions("send") + both.get(1).countActions("send");
            }
            for (PolicyHarness gateway : both) {
                gateway.advanceTo(t);
                gateway.replyToCounterCalls(outcome);
                gateway.request(t, "read", "rate", "c");
                gateway.replyToCounterCalls(outcome);
                for (long k = Math.max(0, t - 1000); k <= t; k += 20) {
                    gateway.endAttempt(k, 0, OK);
                }
            }
        }
        long sent = both.get(0).countActions("send") + both.get(1).countActions("send") - before;
        assertTrue(sent >= 4 && sent <= 13, "8 a second, as the quota was used up: " + sent);
    }

    /** Units spent in an outage were deducted when the counter was back, even if the quota had refilled since. */
    @Test
    void unitsUsedInAnEarlierOutageAreNotDeductedFromAFullQuota() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 500; i++) {
            gateway.advanceTo(i * 20);
            gateway.replyToCounterCalls(i < 50 ? OK : CallOutcome.NO_CONNECTION);
            gateway.request(i, "read", "rate", "c");
            gateway.replyToCounterCalls(i < 50 ? OK : CallOutcome.NO_CONNECTION);
            for (int k = Math.max(0, i - 60); k <= i; k++) {
                gateway.endAttempt(k, 0, OK);
            }
        }
        gateway.counter.clear();
        for (int t = 10_000; t < 12_500; t += 20) { // no requests come, and the quota refills
            gateway.advanceTo(t);
            gateway.replyToCounterCalls(OK);
        }
        assertTrue(QuotaScenarios.submitBurst(gateway, 12_500, 8) >= 7, "full quota, and the counter came back empty");
    }
}
