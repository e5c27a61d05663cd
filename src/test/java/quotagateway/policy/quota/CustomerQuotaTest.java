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

/** Tests one customer's quota: 8 units a second, burst 8, shared by two gateways unless stated otherwise. */
class CustomerQuotaTest {
    private static final QuotaPlan THREE_OPEN = new QuotaPlan("open", 0, 0, 3, 1, 0, 1, 0, 0, 0);

    private final QuotaFixture fixture = new QuotaFixture(2);
    private final QuotaFixture.Demand demand = fixture.demand;

    /** Returns the counter calls since the last invocation. */
    private List<String> takeCounterCalls() {
        return fixture.actions.take().stream()
                .filter(line -> line.startsWith("add"))
                .toList();
    }

    private CustomerQuota reply(CallOutcome outcome, double total) {
        long name = fixture.actions.takeCounterNames().get(0);
        return fixture.calls.onReply(name, outcome, 2, total);
    }

    private int admitWaiting(CustomerQuota quota) {
        int admitted = 0;
        while (demand.requests > 0 && quota.tryAdmit(fixture.request())) {
            demand.requests--;
            quota.spend(1);
            admitted++;
        }
        return admitted;
    }

    @Test
    void singleGatewayAdmitsTheBurstImmediatelyAndThenTheRate() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 1);
        demand.requests = 20;
        assertEquals(8, admitWaiting(quota));
        fixture.clock.advanceTo(500);
        assertEquals(4, admitWaiting(quota));
        assertEquals(List.of(), takeCounterCalls(), "no counter is needed");
    }

    @Test
    void requestIsAdmittedOnceItsUnitIsLeased() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        demand.requests = 1;
        assertFalse(quota.tryAdmit(fixture.request()));
        assertFalse(quota.tryAdmit(fixture.request()));
        assertEquals(List.of("add 1.0"), takeCounterCalls(), "the unit is claimed once");
        assertSame(quota, reply(CallOutcome.OK, 1));
        assertEquals(1, admitWaiting(quota));
    }

    @Test
    void claimIsBoundedByTheUnitsAvailableInTime() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        demand.requests = 50;
        quota.tryAdmit(fixture.request());
        assertEquals(List.of("add 11.0"), takeCounterCalls(), "the burst of 8 and the 3 units that accrue in 400 ms");
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
        quota.tryAdmit(fixture.request());
        takeCounterCalls();
        reply(CallOutcome.OK, 11); // other gateways added 6 units before the claim
        assertEquals(List.of("add -3.0"), takeCounterCalls());
        assertEquals(2, admitWaiting(quota));
    }

    @Test
    void claimThatWasNotAddedIsRepeatedAndOneThatFailedCountsAsAdded() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        demand.requests = 1;
        quota.tryAdmit(fixture.request());
        takeCounterCalls();
        reply(CallOutcome.FULL, 0);
        fixture.clock.advanceTo(250);
        quota.tryAdmit(fixture.request());
        assertEquals(List.of("add 1.0"), takeCounterCalls());
        reply(CallOutcome.ERROR, 0);
        fixture.clock.advanceTo(500);
        quota.tryAdmit(fixture.request());
        assertEquals(List.of("add 0.0"), takeCounterCalls());
    }

    @Test
    void actualUnitsAreAddedWithTheNextClaim() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        quota.correctSpending(3);
        demand.requests = 1;
        quota.tryAdmit(fixture.request());
        assertEquals(List.of("add 4.0"), takeCounterCalls());
    }

    @Test
    void surplusIsReturnedAtTheResplit() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        demand.requests = 5;
        quota.tryAdmit(fixture.request());
        reply(CallOutcome.OK, 5);
        demand.requests = 0; // the clients have disconnected
        takeCounterCalls();
        assertFalse(quota.resplit(), "units are not short");
        assertEquals(List.of("add -5.0"), takeCounterCalls());
        assertTrue(quota.isIdle());
    }

    @Test
    void usualDemandIsClaimedAhead() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        for (int i = 0; i < 5; i++) {
            quota.onRequest(2);
        }
        assertTrue(quota.resplit(), "units are short");
        quota.claimAhead();
        assertEquals(List.of("add 2.0"), takeCounterCalls(), "10 units with the weight 1/5");
    }

    @Test
    void resplitClaimsForActiveCustomersUntilTheyAreIdle() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 2);
        QuotaResplit resplit = new QuotaResplit(fixture.calls);
        resplit.activate(quota);
        quota.onRequest(10);
        resplit.resplit();
        assertEquals(List.of("add 2.0"), takeCounterCalls());
        assertTrue(resplit.isActive(quota));
        reply(CallOutcome.OK, 2);
        for (int period = 0; period < 40; period++) {
            resplit.resplit();
        }
        assertFalse(resplit.isActive(quota));
    }

    @Test
    void quotaIsAmpleAtHalfOfTheBurst() {
        CustomerQuota quota = fixture.quota(PolicyFixtures.RATE_PLAN, 1);
        demand.requests = 5;
        assertTrue(quota.hasAmpleQuota());
        assertEquals(5, admitWaiting(quota));
        assertFalse(quota.hasAmpleQuota());
    }

    @Test
    void openRequestNeedsASlotFromTheCounter() {
        CustomerQuota quota = fixture.quota(THREE_OPEN, 2);
        assertFalse(quota.tryAdmit(fixture.request()));
        assertEquals(List.of("add 1.0"), takeCounterCalls());
        reply(CallOutcome.OK, 3);
        assertTrue(quota.tryAdmit(fixture.request()));
        demand.inFlight = 1;
        assertFalse(quota.tryAdmit(fixture.request()), "the only slot is in use");
        takeCounterCalls();
        reply(CallOutcome.OK, 4);
        assertEquals(List.of("add -1.0"), takeCounterCalls(), "the fourth of three slots is returned");
    }

    @Test
    void unusedSlotIsReturnedUnlessARequestWaits() {
        CustomerQuota quota = fixture.quota(THREE_OPEN, 2);
        quota.tryAdmit(fixture.request());
        reply(CallOutcome.OK, 1);
        takeCounterCalls();
        demand.requests = 1;
        quota.returnUnusedSlots();
        assertEquals(List.of(), takeCounterCalls());
        demand.requests = 0;
        assertFalse(quota.isIdle());
        quota.returnUnusedSlots();
        assertEquals(List.of("add -1.0"), takeCounterCalls());
        assertTrue(quota.isIdle());
    }

    @Test
    void singleGatewayOpensRequestsUpToTheLimit() {
        CustomerQuota quota = fixture.quota(THREE_OPEN, 1);
        demand.inFlight = 2;
        assertTrue(quota.tryAdmit(fixture.request()));
        demand.inFlight = 3;
        assertFalse(quota.tryAdmit(fixture.request()));
    }
}
