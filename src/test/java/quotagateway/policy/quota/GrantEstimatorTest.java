package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.statistics.Ewma;

class GrantEstimatorTest {
    private final QuotaFixture fixture = new QuotaFixture(2);
    private final Ewma usualGrant = new Ewma(0.03, 1);

    /** Of a plan where a request beyond the quota earns and costs these parts of its worth. */
    private GrantEstimator grants(double excessWeight, double excessCost) {
        QuotaPlan plan = new QuotaPlan("p", 8, 8, 0, 1, excessWeight, excessCost, 0, 0, 0);
        return new GrantEstimator(plan, fixture.context.limiter(), fixture.traffic, usualGrant);
    }

    @Test
    void newCustomerBeginsWithWhatIsUsual() {
        GrantEstimator grants = grants(0, 1);
        assertTrue(grants.isMostlyGranted());
        grants.recordClaim(0);
        assertFalse(grants.isMostlyGranted());
        assertEquals(0.97, usualGrant.value(), 1e-9);
    }

    @Test
    void lastReplyCountsHalf() {
        GrantEstimator grants = grants(0, 1);
        grants.recordClaim(0.4);
        assertTrue(grants.isMostlyGranted(), "0.7");
        grants.recordSlot(false);
        assertFalse(grants.isMostlyGranted(), "0.35");
        grants.recordSlot(true);
        assertTrue(grants.isMostlyGranted());
    }

    @Test
    void unaskedAdmissionPaysAboveTheBreakEvenOfThePlan() {
        GrantEstimator dear = grants(0, 1); // breaks even at a half
        GrantEstimator cheap = grants(0, 0.1); // at an eleventh
        for (GrantEstimator grants : new GrantEstimator[] {dear, cheap}) {
            assertTrue(grants.paysToAdmitUnasked());
            grants.recordSlot(false);
            grants.recordSlot(false);
        }
        assertFalse(dear.paysToAdmitUnasked());
        assertTrue(cheap.paysToAdmitUnasked());
    }

    /**
     * A rejected client comes again, and most of them are served then. The gain of an admission was set at the whole
     * worth of the request all the same, so that units beyond quotas were paid for requests that would not be lost.
     */
    @Test
    void unaskedAdmissionPaysLessWhereRejectedClientsComeAgain() {
        GrantEstimator grants = grants(0, 1);
        grants.recordClaim(0.4); // 0.7 is granted
        assertTrue(grants.paysToAdmitUnasked(), "above a half");
        for (int period = 0; period < 200; period++) {
            fixture.traffic.onRequest();
            fixture.traffic.onRepeat();
            fixture.traffic.onSend(1);
            fixture.traffic.onRejection();
            fixture.traffic.endPeriod();
        }
        fixture.context.limiter().startWith(100);
        assertFalse(grants.paysToAdmitUnasked(), "nothing is lost by a rejection");
    }

    @Test
    void planWithoutACostHasABreakEvenToo() {
        assertTrue(grants(1, 0).paysToAdmitUnasked());
    }
}
