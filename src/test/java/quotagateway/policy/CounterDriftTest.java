package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;

/** Totals on the counter that are new, lost or show what cannot be, and how they are corrected. */
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

    /** What a full store did not take in stayed on the name: each gateway in turn took it for room. */
    @Test
    void unitsThatAFullQuotaDidNotTakeInAreCorrectedInItsTotal() {
        List<PolicyHarness> both = QuotaScenarios.twoGateways();
        assertEquals(2, QuotaScenarios.sentOfBurst(both.get(0), 0, 1) + QuotaScenarios.sentOfBurst(both.get(1), 0, 1));
        assertEquals(8, QuotaScenarios.sentOfBurst(both.get(0), 600, 8), "full since 250 ms");
        assertEquals(0, QuotaScenarios.sentOfBurst(both.get(1), 601, 8), "and used up");
    }

    /** All put a new name right at once: until all but one took theirs back, it showed far too little. */
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
                    .filter(l -> l.startsWith("count 1") && l.length() > 9)
                    .count();
        }
        assertEquals(1, corrections, "what the quota has filled in 20 s");
        assertEquals(
                4,
                all.stream().mapToLong(gateway -> gateway.countActions("send")).sum());
    }

    /**
     * A customer's first requests come 20 s after its name on the counter began, by gateways that are far back in the
     * turn to correct it. Until one of them had waited for its turn and claimed once more, each claim found what a
     * quota fills in 20 s, and all of it was given out: 160 units beyond the burst.
     */
    @Test
    void newTotalGrantsNoMoreThanTheQuotaWhereTheFirstGatewaysHaveNoRequests() {
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

    /** At a new name the gateway that had read the old one longest ago took its reading for the store's. */
    @Test
    void newTotalDoesNotGrantWhatOthersHaveTaken() {
        List<PolicyHarness> both = QuotaScenarios.twoGateways();
        assertEquals(1, QuotaScenarios.sentOfBurst(both.get(0), 20_000, 1), "it last sees a full store");
        assertEquals(8, QuotaScenarios.sentOfBurst(both.get(1), 29_999, 8));
        assertEquals(0, QuotaScenarios.sentOfBurst(both.get(0), 30_001, 8), "the store is empty, whatever the name");
    }

    /** A reading amid another gateway's claim that is then cut was held against the store from then on. */
    @Test
    void lowReadingIsNoBoundForTheNext() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(8);
        QuotaScenarios.sentOfBurst(gateway, 10_000, 6);
        gateway.otherGatewaysClaim(4);
        QuotaScenarios.sentOfBurst(gateway, 10_100, 1);
        gateway.otherGatewaysClaim(-4); // given back
        QuotaScenarios.sentOfBurst(gateway, 10_610, 0);
        double before = gateway.counter.values().iterator().next();
        QuotaScenarios.sentOfBurst(gateway, 10_611, 3);
        assertEquals(1, gateway.counter.values().iterator().next() - before, 1e-6, "a claim, and nothing put right");
    }
}
