package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.testing.PolicyFixtures;

/** Tests the small classes that make up a quota. */
class QuotaComponentsTest {
    private static final QuotaScope SCOPE = QuotaScope.of("c rate", PolicyFixtures.RATE_PLAN, 4, 1, true);

    @Test
    void tokenBucketRefillsUpToItsBurst() {
        TokenBucket bucket = new TokenBucket(10, 0, 100);
        bucket.refill(4, 200);
        assertEquals(4, bucket.level());
        assertEquals(200, bucket.updatedAt());
        bucket.refill(100, 300);
        bucket.take(12);
        assertEquals(-2, bucket.level());
    }

    @Test
    void scopeIsLocalWithoutACounterOrOtherGateways() {
        assertFalse(SCOPE.local());
        assertTrue(QuotaScope.of("c", PolicyFixtures.RATE_PLAN, 1, 0, true).local());
        assertTrue(QuotaScope.of("c", PolicyFixtures.RATE_PLAN, 4, 0, false).local());
        assertEquals(1, QuotaScope.of("c", PolicyFixtures.RATE_PLAN, 0, 0, true).gatewayCount());
        assertEquals(
                SCOPE.key(),
                QuotaScope.of("c rate", PolicyFixtures.RATE_PLAN, 9, 3, true).key());
    }

    @Test
    void hardLimitIsTheEvenShareRoundedDownAndStartsEmpty() {
        QuotaPlan plan = new QuotaPlan("hard", 0, 0, 0, 1, 0, 1, 8, 10, 0);
        HardLimit limit = HardLimit.of(QuotaScope.of("c", plan, 4, 0, true), 0);
        assertTrue(limit.exists());
        assertFalse(limit.allows(1, 0));
        assertFalse(limit.allows(1, 499));
        assertTrue(limit.allows(1, 500), "2 units a second");
        limit.spend(1);
        assertFalse(limit.allows(1, 500));
        assertTrue(limit.allows(2, 100_000));
        assertFalse(limit.allows(3, 100_000), "the burst is 10 / 4 rounded down");
    }

    @Test
    void planWithoutAHardLimitAllowsEverything() {
        HardLimit limit = HardLimit.of(SCOPE, 0);
        assertFalse(limit.exists());
        limit.spend(1e9);
        assertTrue(limit.allows(1e9, 0));
    }

    @Test
    void scheduledUnitsBecomeCreditsWhenTheyFallDue() {
        CreditBalance balance = new CreditBalance(false, 0, 0);
        balance.add(2);
        balance.schedule(100);
        balance.schedule(200);
        assertEquals(2, balance.scheduledUnits());
        balance.collectDue(99);
        assertEquals(2, balance.credits());
        balance.collectDue(100);
        assertEquals(3, balance.credits());
        assertEquals(1, balance.scheduledUnits());
    }

    @Test
    void leasedUnitsAreSpentBeforeUnreportedOnes() {
        CreditBalance balance = new CreditBalance(false, 0, 0);
        balance.add(3);
        balance.accrue(5, 5);
        assertEquals(5, balance.credits(), "up to the bound of 5");
        assertEquals(2, balance.unreported());
        assertEquals(0, balance.spend(3));
        assertEquals(1, balance.spend(1));
        assertEquals(1, balance.credits());
        assertEquals(1, balance.unreported());
    }

    @Test
    void unitsSpentWithoutCreditsAreToBeReported() {
        CreditBalance balance = new CreditBalance(false, 0, 0);
        assertEquals(2, balance.spend(2));
        assertEquals(0, balance.credits());
    }

    @Test
    void localCreditsStayBelowTheirBound() {
        CreditBalance balance = new CreditBalance(true, 4, 0);
        balance.accrue(10, 6);
        assertEquals(6, balance.credits());
        balance.accrue(1, 2);
        assertEquals(6, balance.credits(), "existing credits are kept");
        assertEquals(0, balance.unreported());
    }

    @Test
    void shareFollowsTheUnitsTaken() {
        ShareCalculator share = new ShareCalculator(SCOPE, 0);
        assertEquals(0.25, share.share());
        share.record(7, 7, 0, 0);
        assertEquals((7 + 1 / 4.0) / (7 + 1), share.share(), 1e-9);
        share.record(0, 8, 0, 4000);
        assertEquals((3.5 + 1 / 4.0) / (3.5 + 8 + 1), share.share(), 1e-9, "the weight halves in 4 s");
        assertEquals(8 * Math.log(2) / 4000, share.othersUnitsPerMs(), 1e-12);
    }

    @Test
    void unitsTakenByOthersAreCappedAtThePossible() {
        ShareCalculator share = new ShareCalculator(SCOPE, 0);
        share.record(0, 1e6, 0, 0);
        assertEquals(8 * Math.log(2) / 4000, share.othersUnitsPerMs(), 1e-12, "capped at a burst");
    }

    @Test
    void shareBecomesEvenWithoutReadings() {
        ShareCalculator share = new ShareCalculator(SCOPE, 0);
        share.record(8, 8, 0, 0);
        for (int period = 0; period < 60; period++) {
            share.convergeToEvenShare(250);
        }
        assertEquals(0.25, share.share(), 1e-3);
    }

    @Test
    void estimatesRefillAtTheRateUpToTheBurst() {
        BucketLevelEstimate estimate = new BucketLevelEstimate(SCOPE, new ShareCalculator(SCOPE, 0), 0);
        estimate.onReading(2, 0);
        assertEquals(4, estimate.upperBound(250));
        assertEquals(8, estimate.upperBound(10_000));
        assertEquals(82, estimate.uncappedLevelAfter(10_000));
        assertEquals(2, estimate.lastUpperBound());
    }

    @Test
    void otherGatewaysAreExpectedToKeepTakingUnits() {
        ShareCalculator share = new ShareCalculator(SCOPE, 0);
        BucketLevelEstimate estimate = new BucketLevelEstimate(SCOPE, share, 0);
        estimate.onReading(2, 0);
        share.record(0, 8, 0, 0); // the other gateways took 8 units
        double netRefill = 0.008 - 8 * Math.log(2) / 4000;
        assertEquals(2 + netRefill * 250, estimate.expected(250), 1e-9);
    }

    @Test
    void unreportedSpendingIsAssumedOfAllGateways() {
        BucketLevelEstimate estimate = new BucketLevelEstimate(SCOPE, new ShareCalculator(SCOPE, 0), 0);
        estimate.onUnreportedSpending(1, 0);
        assertEquals(7, estimate.upperBound(0));
        assertEquals(4, estimate.spendableWithoutCounter(0), "each of four gateways is assumed to have spent one unit");
    }

    @Test
    void eachEpochHasItsOwnNames() {
        assertEquals(0, CounterEpoch.unitsEpochAt(29_999));
        assertEquals(1, CounterEpoch.unitsEpochAt(30_000));
        assertEquals(30_000, CounterEpoch.startOf(1));
        assertEquals(1, CounterEpoch.openCountEpochAt(4000));
        assertNotEquals(CounterEpoch.unitsTotalName(5, 1), CounterEpoch.unitsTotalName(5, 2));
        assertNotEquals(CounterEpoch.unitsTotalName(5, 1), CounterEpoch.openCountName(5, 1));
        assertTrue(CounterEpoch.unitsTotalName(-5, 1) >= 0);
    }

    @Test
    void demandConvergesToTheUnitsPerPeriod() {
        DemandEstimator demand = new DemandEstimator();
        assertTrue(demand.isIdle());
        for (int period = 0; period < 100; period++) {
            demand.onRequest(3);
            demand.onRequest(2);
            demand.endPeriod();
        }
        assertEquals(5, demand.unitsPerPeriod(), 1e-6);
        for (int period = 0; period < 100; period++) {
            demand.endPeriod();
        }
        assertTrue(demand.isIdle());
    }

    @Test
    void valuesOfAKeyAreReturnedInInsertionOrder() {
        FifoMultimap<Long, String> values = new FifoMultimap<>();
        values.add(1L, "first");
        values.add(2L, "other");
        values.add(1L, "second");
        assertEquals("first", values.poll(1L));
        assertEquals("second", values.poll(1L));
        assertNull(values.poll(1L));
        assertEquals("other", values.poll(2L));
    }
}
