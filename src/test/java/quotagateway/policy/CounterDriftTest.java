package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;

/** Tests how totals on the counter are corrected that are new, were lost or show an impossible level. */
class CounterDriftTest {
    private static final CallOutcome OK = CallOutcome.OK;

    @Test
    void lostTotalDoesNotGrantTheBurstAgain() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        for (int i = 0; i < 8; i++) {
            gateway.request(i, "read", "rate", "c");
            gateway.replyToCounterCalls(OK);
        }
        assertEquals(8, gateway.countActions("send"));
        gateway.counter.clear();
        gateway.advanceTo(100);
        for (int i = 10; i < 18; i++) {
            gateway.request(i, "read", "rate", "c");
            gateway.replyToCounterCalls(OK);
        }
        assertTrue(gateway.countActions("send") <= 9, "sent " + gateway.countActions("send"));
    }

    /** Units that accrued beyond a full quota stayed available in the total: each gateway in turn claimed them. */
    @Test
    void unitsAccruedBeyondAFullQuotaAreCorrectedInItsTotal() {
        List<PolicyHarness> both = QuotaScenarios.twoGateways();
        assertEquals(2, QuotaScenarios.submitBurst(both.get(0), 0, 1) + QuotaScenarios.submitBurst(both.get(1), 0, 1));
        assertEquals(8, QuotaScenarios.submitBurst(both.get(0), 600, 8), "the quota is full since 250 ms");
        assertEquals(0, QuotaScenarios.submitBurst(both.get(1), 601, 8), "the quota is used up");
    }

    /**
     * All gateways corrected a new total at the same time: until all but one had reverted their corrections, the total
     * showed far too few units.
     */
    @Test
    void newTotalIsCorrectedByOneGatewayFirst() {
        Map<Long, Double> counter = new HashMap<>();
        long corrections = 0;
        List<PolicyHarness> all = new ArrayList<>();
        for (int n = 0; n < 4; n++) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.gatewayIndex = n;
            gateway.gatewayCount = 4;
            gateway.counter = counter;
            gateway.now = 20_000;
            all.add(gateway.start().listEndpoints(8));
            gateway.request(n, "read", "rate", "c", 1, 4);
        }
        for (PolicyHarness gateway : all) {
            gateway.replyToCounterCalls(OK);
            corrections += gateway.log.stream()
                    .filter(line -> line.startsWith("count 1") && line.length() > 9)
                    .count();
        }
        assertEquals(1, corrections, "of the units that the quota accrued in 20 s");
        assertEquals(
                4,
                all.stream().mapToLong(gateway -> gateway.countActions("send")).sum());
    }

    /**
     * A customer's first requests arrive 20 s after the epoch of its total began, at gateways with late turns to
     * correct the total. Until one of them had waited for its turn and claimed again, each claim found the units that a
     * quota accrues in 20 s, and all of them were granted: 160 units beyond the burst.
     */
    @Test
    void newTotalGrantsNoMoreThanTheQuotaIfTheFirstGatewaysHaveNoRequests() {
        Map<Long, Double> counter = new HashMap<>();
        List<PolicyHarness> busy = new ArrayList<>();
        for (int n = 10; n < 20; n++) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.gatewayIndex = n;
            gateway.gatewayCount = 20;
            gateway.counter = counter;
            gateway.now = 20_000;
            busy.add(gateway.start().listEndpoints(8));
        }
        int id = 0;
        for (double now = 20_000; now < 22_000; now += 10) {
            PolicyHarness gateway = busy.get(id % busy.size());
            gateway.advanceTo(now);
            gateway.request(++id, "read", "rate", "c", 1, 20);
            gateway.replyToCounterCalls(OK);
        }
        long sent =
                busy.stream().mapToLong(gateway -> gateway.countActions("send")).sum();
        assertTrue(sent <= 8 + 8 * 2 + 3, "sent " + sent + " of 24, and 3 that may be claimed ahead");
    }

    /** In a new epoch, the gateway with the oldest reading of the previous total took this reading for the level. */
    @Test
    void newTotalDoesNotGrantWhatOthersHaveTaken() {
        List<PolicyHarness> both = QuotaScenarios.twoGateways();
        assertEquals(1, QuotaScenarios.submitBurst(both.get(0), 20_000, 1), "its last reading shows a full quota");
        assertEquals(8, QuotaScenarios.submitBurst(both.get(1), 29_999, 8));
        assertEquals(0, QuotaScenarios.submitBurst(both.get(0), 30_001, 8), "the quota is empty in the new epoch too");
    }

    /**
     * A reading taken during another gateway's claim, part of which was then returned, was used as an upper bound of
     * the level from then on.
     */
    @Test
    void lowReadingDoesNotBoundTheNext() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        QuotaScenarios.submitBurst(gateway, 10_000, 6);
        gateway.otherGatewaysClaim(4);
        QuotaScenarios.submitBurst(gateway, 10_100, 1);
        gateway.otherGatewaysClaim(-4); // returned
        QuotaScenarios.submitBurst(gateway, 10_610, 0);
        double before = gateway.counter.values().iterator().next();
        QuotaScenarios.submitBurst(gateway, 10_611, 3);
        assertEquals(1, gateway.counter.values().iterator().next() - before, 1e-6, "a claim without a correction");
    }
}
