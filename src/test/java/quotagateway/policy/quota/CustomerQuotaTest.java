package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.testing.PolicyFixtures;

/** One customer's quota: 8 units a second, burst 8, shared by two gateways unless said otherwise. */
class CustomerQuotaTest {
    private static final QuotaPlan THREE_OPEN = new QuotaPlan("open", 0, 0, 3, 1, 0, 1, 0, 0, 0);

    private final QuotaFixture fixture = new QuotaFixture(2);
    private final QuotaFixture.Demand demand = fixture.demand;

    /** The counter calls since the last time. */
    private List<String> added() {
        return fixture.host.take().stream()
                .filter(line -> line.startsWith("add"))
                .toList();
    }

    private CustomerQuota reply(CallOutcome outcome, double total) {
        long name = fixture.host.takeCounterNames().get(0);
        return fixture.calls.onReply(name, outcome, 2, total);
    }

    private int admitWaiting(CustomerQuota quota) {
        int admitted = 0;
        while (demand.requests > 0 && quota.admits(fixture.request())) {
            demand.requests--;
            quota.spend(1);
            admitted++;
        }
        return admitted;
    }

    @Test
    void gatewayAloneHasTheBurstAtOnceAndThenTheRate() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 1);
        demand.requests = 20;
        assertEquals(8, admitWaiting(quota));
        fixture.clock.advanceTo(500);
        assertEquals(4, admitWaiting(quota));
        assertEquals(List.of(), added(), "no counter is needed");
    }

    @Test
    void requestIsAdmittedOnceItsUnitIsLeased() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        demand.requests = 1;
        assertFalse(quota.admits(fixture.request()));
        assertFalse(quota.admits(fixture.request()));
        assertEquals(List.of("add 1.0"), added(), "claimed once");
        assertSame(quota, reply(CallOutcome.OK, 1));
        assertEquals(1, admitWaiting(quota));
    }

    @Test
    void claimIsBoundedByWhatCanBeThereInTime() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        demand.requests = 50;
        quota.admits(fixture.request());
        assertEquals(List.of("add 11.0"), added(), "8 and the 3 that come in 400 ms");
        reply(CallOutcome.OK, 11);
        assertEquals(8, admitWaiting(quota));
        fixture.clock.advanceTo(125);
        assertEquals(1, admitWaiting(quota));
    }

    @Test
    void unitsThatOthersHaveTakenAreReturned() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        demand.requests = 5;
        demand.latestStart = 0;
        quota.admits(fixture.request());
        added();
        reply(CallOutcome.OK, 11); // six before ours
        assertEquals(List.of("add -3.0"), added());
        assertEquals(2, admitWaiting(quota));
    }

    @Test
    void claimThatWasNotAddedIsMadeAnewAndOneThatTimedOutCountsAsAdded() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        demand.requests = 1;
        quota.admits(fixture.request());
        added();
        reply(CallOutcome.FULL, 0);
        fixture.clock.advanceTo(250);
        quota.admits(fixture.request());
        assertEquals(List.of("add 1.0"), added());
        reply(CallOutcome.ERROR, 0);
        fixture.clock.advanceTo(500);
        quota.admits(fixture.request());
        assertEquals(List.of("add 0.0"), added());
    }

    @Test
    void unitsReallyUsedAreAddedWithTheNextClaim() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        quota.correctSpending(3);
        demand.requests = 1;
        quota.admits(fixture.request());
        assertEquals(List.of("add 4.0"), added());
    }

    @Test
    void surplusIsReturnedAtTheResplit() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        demand.requests = 5;
        quota.admits(fixture.request());
        reply(CallOutcome.OK, 5);
        demand.requests = 0; // the clients have gone
        added();
        assertFalse(quota.resplit(), "not short");
        assertEquals(List.of("add -5.0"), added());
        assertTrue(quota.isIdle());
    }

    @Test
    void usualDemandIsClaimedAhead() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        for (int i = 0; i < 5; i++) {
            quota.onRequest(2);
        }
        assertTrue(quota.resplit(), "short");
        quota.claimAhead();
        assertEquals(List.of("add 2.0"), added(), "a fifth of ten");
    }

    @Test
    void resplitClaimsForActiveCustomersUntilTheyAreIdle() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        QuotaResplit resplit = new QuotaResplit(fixture.calls);
        resplit.activate(quota);
        quota.onRequest(10);
        resplit.resplit();
        assertEquals(List.of("add 2.0"), added());
        assertTrue(resplit.isActive(quota));
        reply(CallOutcome.OK, 2);
        for (int period = 0; period < 40; period++) {
            resplit.resplit();
        }
        assertFalse(resplit.isActive(quota));
    }

    @Test
    void plentyIsHalfOfTheBurst() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 1);
        demand.requests = 5;
        assertTrue(quota.hasPlenty());
        assertEquals(5, admitWaiting(quota));
        assertFalse(quota.hasPlenty());
    }

    @Test
    void openRequestNeedsASlotFromTheCounter() {
        CustomerQuota quota = fixture.quota(THREE_OPEN, 2);
        assertFalse(quota.admits(fixture.request()));
        assertEquals(List.of("add 1.0"), added());
        reply(CallOutcome.OK, 3);
        assertTrue(quota.admits(fixture.request()));
        demand.inFlight = 1;
        assertFalse(quota.admits(fixture.request()), "its slot is taken");
        added();
        reply(CallOutcome.OK, 4);
        assertEquals(List.of("add -1.0"), added(), "the fourth of three");
    }

    @Test
    void unusedSlotIsReturnedUnlessARequestWaits() {
        CustomerQuota quota = fixture.quota(THREE_OPEN, 2);
        quota.admits(fixture.request());
        reply(CallOutcome.OK, 1);
        added();
        demand.requests = 1;
        quota.returnUnusedSlots();
        assertEquals(List.of(), added());
        demand.requests = 0;
        assertFalse(quota.isIdle());
        quota.returnUnusedSlots();
        assertEquals(List.of("add -1.0"), added());
        assertTrue(quota.isIdle());
    }

    @Test
    void gatewayAloneOpensUpToTheLimit() {
        CustomerQuota quota = fixture.quota(THREE_OPEN, 1);
        demand.inFlight = 2;
        assertTrue(quota.admits(fixture.request()));
        demand.inFlight = 3;
        assertFalse(quota.admits(fixture.request()));
    }
}
