package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.testing.PolicyFixtures;

/** The small parts of a quota, which know nothing of each other. */
class QuotaPartsTest {
    private static final QuotaHolder HOLDER = QuotaHolder.of("c rate", PolicyFixtures.RATE_PLAN, 4, 1, true);

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
    void holderIsLocalWithoutACounterOrOtherGateways() {
        assertFalse(HOLDER.local());
        assertTrue(QuotaHolder.of("c", PolicyFixtures.RATE_PLAN, 1, 0, true).local());
        assertTrue(QuotaHolder.of("c", PolicyFixtures.RATE_PLAN, 4, 0, false).local());
        assertEquals(
                1, QuotaHolder.of("c", PolicyFixtures.RATE_PLAN, 0, 0, true).gatewayCount());
        assertEquals(
                HOLDER.key(),
                QuotaHolder.of("c rate", PolicyFixtures.RATE_PLAN, 9, 3, true).key());
    }

    @Test
    void hardLimitIsTheEvenPartRoundedDownAndStartsEmpty() {
        QuotaPlan plan = new QuotaPlan("hard", 0, 0, 0, 1, 0, 1, 8, 10, 0);
        HardLimit limit = HardLimit.of(QuotaHolder.of("c", plan, 4, 0, true), 0);
        assertTrue(limit.exists());
        assertFalse(limit.allows(1, 0));
        assertFalse(limit.allows(1, 499));
        assertTrue(limit.allows(1, 500), "2 a second");
        limit.spend(1);
        assertFalse(limit.allows(1, 500));
        assertTrue(limit.allows(2, 100_000));
        assertFalse(limit.allows(3, 100_000), "10 / 4 is 2.5");
    }

    @Test
    void planWithoutAHardLimitAllowsEverything() {
        HardLimit limit = HardLimit.of(HOLDER, 0);
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
        assertEquals(5, balance.credits(), "up to the most");
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
        assertEquals(6, balance.credits(), "nothing is taken away");
        assertEquals(0, balance.unreported());
    }

    @Test
    void shareFollowsWhatWasTakenHere() {
        ShareCalculator share = new ShareCalculator(HOLDER, 0);
        assertEquals(0.25, share.share());
        share.record(7, 7, 0, 0);
        assertEquals((7 + 1 / 4.0) / (7 + 1), share.share(), 1e-9);
        share.record(0, 8, 0, 4000);
        assertEquals((3.5 + 1 / 4.0) / (3.5 + 8 + 1), share.share(), 1e-9, "half is forgotten in 4 s");
        assertEquals(8 * Math.log(2) / 4000, share.othersUnitsPerMs(), 1e-12);
    }

    @Test
    void moreThanOthersCanHaveTakenIsNotBelieved() {
        ShareCalculator share = new ShareCalculator(HOLDER, 0);
        share.record(0, 1e6, 0, 0);
        assertEquals(8 * Math.log(2) / 4000, share.othersUnitsPerMs(), 1e-12, "a burst");
    }

    @Test
    void shareBecomesEvenWithoutReadings() {
        ShareCalculator share = new ShareCalculator(HOLDER, 0);
        share.record(8, 8, 0, 0);
        for (int period = 0; period < 60; period++) {
            share.driftToEven(250);
        }
        assertEquals(0.25, share.share(), 1e-3);
    }

    @Test
    void estimatesRefillAtTheRateUpToTheBurst() {
        StoreEstimate estimate = new StoreEstimate(HOLDER, new ShareCalculator(HOLDER, 0), 0);
        estimate.onReading(2, 0);
        assertEquals(4, estimate.atMost(250));
        assertEquals(8, estimate.atMost(10_000));
        assertEquals(82, estimate.unboundedAfter(10_000));
        assertEquals(2, estimate.lastAtMost());
    }

    @Test
    void otherGatewaysAreExpectedToGoOnTaking() {
        ShareCalculator share = new ShareCalculator(HOLDER, 0);
        StoreEstimate estimate = new StoreEstimate(HOLDER, share, 0);
        estimate.onReading(2, 0);
        share.record(0, 8, 0, 0); // the others took 8
        double fill = 0.008 - 8 * Math.log(2) / 4000;
        assertEquals(2 + fill * 250, estimate.expected(250), 1e-9);
    }

    @Test
    void unreportedSpendingIsTakenForThatOfAllGateways() {
        StoreEstimate estimate = new StoreEstimate(HOLDER, new ShareCalculator(HOLDER, 0), 0);
        estimate.onUnreportedSpending(1, 0);
        assertEquals(7, estimate.atMost(0));
        assertEquals(4, estimate.spendableUnasked(0), "each of four gateways one");
    }

    @Test
    void epochsHaveNamesOfTheirOwn() {
        assertEquals(0, CounterEpoch.at(29_999));
        assertEquals(1, CounterEpoch.at(30_000));
        assertEquals(30_000, CounterEpoch.startOf(1));
        assertEquals(1, CounterEpoch.openCountAt(4000));
        assertNotEquals(CounterEpoch.unitsName(5, 1), CounterEpoch.unitsName(5, 2));
        assertNotEquals(CounterEpoch.unitsName(5, 1), CounterEpoch.openCountName(5, 1));
        assertTrue(CounterEpoch.unitsName(-5, 1) >= 0);
    }

    @Test
    void demandIsTheUsualNumberOfUnitsInAPeriod() {
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
    void valuesOfAKeyComeInTheirOrder() {
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
