package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.statistics.Ewma;

class GrantEstimatorTest {
    private final QuotaFixture fixture = new QuotaFixture(2);
    private final Ewma averageGrantRatio = new Ewma(0.03, 1);

    /** Returns an estimator for a plan where a request beyond the quota earns and costs these parts of its worth. */
    private GrantEstimator grants(double excessWeight, double excessCost) {
        QuotaPlan plan = new QuotaPlan("p", 8, 8, 0, 1, excessWeight, excessCost, 0, 0, 0);
        return new GrantEstimator(plan, fixture.context.limiter(), fixture.traffic, averageGrantRatio);
    }

    @Test
    void newCustomerStartsWithTheAverage() {
        GrantEstimator grants = grants(0, 1);
        assertTrue(grants.isMostlyGranted());
        grants.recordClaimReply(0);
        assertFalse(grants.isMostlyGranted());
        assertEquals(0.97, averageGrantRatio.value(), 1e-9);
    }

    @Test
    void lastReplyCountsHalf() {
        GrantEstimator grants = grants(0, 1);
        grants.recordClaimReply(0.4);
        assertTrue(grants.isMostlyGranted(), "the ratio is 0.7");
        grants.recordSlotReply(false);
        assertFalse(grants.isMostlyGranted(), "the ratio is 0.35");
        grants.recordSlotReply(true);
        assertTrue(grants.isMostlyGranted());
    }

    @Test
    void admissionWithoutCounterPaysAboveTheBreakEvenOfThePlan() {
        GrantEstimator expensive = grants(0, 1); // breaks even at 1/2
        GrantEstimator cheap = grants(0, 0.1); // breaks even at 1/11
        for (GrantEstimator grants : new GrantEstimator[] {expensive, cheap}) {
            assertTrue(grants.isWorthAdmittingWithoutCounter());
            grants.recordSlotReply(false);
            grants.recordSlotReply(false);
        }
        assertFalse(expensive.isWorthAdmittingWithoutCounter());
        assertTrue(cheap.isWorthAdmittingWithoutCounter());
    }

    /**
     * Rejected clients retry, and most of them are served then. The gain of an admission was nevertheless set to the
     * full worth of the request, so that units beyond the quota were paid for requests that would not have been lost.
     */
    @Test
    void admissionWithoutCounterPaysLessIfRejectedClientsRetry() {
        GrantEstimator grants = grants(0, 1);
        grants.recordClaimReply(0.4); // the ratio is 0.7
        assertTrue(grants.isWorthAdmittingWithoutCounter(), "above the break-even of 1/2");
        for (int period = 0; period < 200; period++) {
            fixture.traffic.onRequest();
            fixture.traffic.onClientRetry();
            fixture.traffic.onSend(1);
            fixture.traffic.onRejection();
            fixture.traffic.endPeriod();
        }
        fixture.context.limiter().initializeRate(100);
        assertFalse(grants.isWorthAdmittingWithoutCounter(), "nothing is lost by a rejection");
    }

    @Test
    void planWithoutExcessCostHasABreakEven() {
        assertTrue(grants(1, 0).isWorthAdmittingWithoutCounter());
    }
}
