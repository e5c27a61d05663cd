package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;

/** What is admitted while the shared counter is away, and once it is back. */
class SilentCounterTest {
    private static final CallOutcome OK = CallOutcome.OK;

    @Test
    void counterThatNeverRepliesLeavesTheEvenPart() {
        double rate = QuotaScenarios.sendsPerSecond(new PolicyHarness(), CallOutcome.NO_CONNECTION, 0);
        assertTrue(rate > 2 && rate < 5, "even part 4: " + rate);
    }

    /** Eight broken connections in a row were taken for a counter that is away: nothing was asked for 2 s. */
    @Test
    void brokenCounterConnectionsAreNoSilence() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 20; i++) {
            gateway.request(i, "read", "rate", "x" + i);
            gateway.replyToCounterCalls(CallOutcome.RESET);
        }
        gateway.request(20, "read", "rate", "y");
        assertEquals(21, gateway.countActions("count 1.0"), "the counter is still asked");
    }

    /**
     * Two gateways with an uneven customer that asks for more than it has: in silence their parts, by what
     * each was given before, are the quota; by what each had asked for they were up to twice that.
     */
    @Test
    void sharesOfAllGatewaysInSilenceAreNoMoreThanTheQuota() {
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
            for (long k = Math.max(0, id++ - 60); k < id; k++) { // what was sent is answered
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

    /** Requests move while nothing is heard: a gateway that had few before held them to its old part. */
    @Test
    void shareInSilenceSoonBecomesTheEvenPart() {
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

    /** A counter that is back empty had each gateway hand out what the others had sent in the meantime. */
    @Test
    void unitsThatOthersUsedInSilenceAreNotGrantedAgain() {
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
        assertTrue(sent >= 4 && sent <= 13, "8 a second, the store was used up: " + sent);
    }

    /** What was sent in silence was taken off the store again when the counter was back, filled up or not. */
    @Test
    void unitsUsedInALongPastSilenceAreNotTakenOffAFullQuota() {
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
        for (int t = 10_000; t < 12_500; t += 20) { // its customer rests, and the store fills up
            gateway.advanceTo(t);
            gateway.replyToCounterCalls(OK);
        }
        assertTrue(
                QuotaScenarios.sentOfBurst(gateway, 12_500, 8) >= 7, "a full store, and a counter that is back empty");
    }
}
