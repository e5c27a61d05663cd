package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.testing.PolicyFixtures;

/** A burst of 8: more than one unit is a drift; the third gateway (position 2) with a turn of 50 ms. */
class DriftDetectorTest {
    private final QuotaFixture fixture = new QuotaFixture(4);
    private final QuotaHolder holder = QuotaHolder.of("c", PolicyFixtures.RATE_PLAN, 4, 2, true);
    private final DriftDetector drift = new DriftDetector(holder, fixture.context);

    private void readOnce() {
        drift.noteTotal(0, 0);
        drift.assess(8, 8, 0);
        drift.setLastTotal(0, 20);
    }

    @Test
    void readingWithinTheToleranceIsTakenDownToWhatCanBe() {
        DriftDetector.Drift found = drift.assess(9, 8, 0);
        assertFalse(found.significant());
        assertEquals(8, found.removeFrom(9));
        assertEquals(7.5, drift.assess(7.5, 8, 0).removeFrom(7.5));
    }

    @Test
    void firstTotalOfANameIsSuspect() {
        drift.noteTotal(0, 0);
        assertTrue(drift.isTotalSuspect());
        drift.assess(8, 8, 0);
        assertFalse(drift.isTotalSuspect(), "it shows what can be");
    }

    @Test
    void totalThatHasFallenByMoreThanHalfABurstIsSuspect() {
        readOnce();
        drift.noteTotal(0, 17);
        assertFalse(drift.isTotalSuspect());
        drift.noteTotal(0, 3);
        assertTrue(drift.isTotalSuspect());
    }

    @Test
    void excessOfATrustedTotalIsCorrectedAtOnce() {
        readOnce();
        DriftDetector.Drift found = drift.assess(12, 8, 1000);
        assertEquals(4, found.units());
        assertTrue(found.toBeCorrected());
        assertEquals(8, found.removeFrom(12));
    }

    @Test
    void excessOfATotalThatNobodyAddedToBeforeIsCorrectedAtOnce() {
        drift.noteTotal(0, 0);
        assertTrue(drift.assess(100, 8, 1000).toBeCorrected());
    }

    @Test
    void excessOfASuspectTotalIsCorrectedInTurnByTheOthers() {
        drift.noteTotal(0, 1);
        assertFalse(drift.assess(100, 8, 1000).toBeCorrected());
        assertFalse(drift.assess(100, 8, 1099).toBeCorrected());
        assertTrue(drift.assess(100, 8, 1100).toBeCorrected());
    }

    @Test
    void missingUnitsAreGivenAPeriodToComeBack() {
        readOnce();
        DriftDetector.Drift found = drift.assess(-20, 8, 1000);
        assertTrue(found.isUnconfirmedLoss());
        assertEquals(-20 + 6.4, found.units(), 1e-9, "an objective's worth may be claimed ahead");
        found = drift.assess(-20, 8, 1250);
        assertTrue(found.toBeCorrected());
        assertFalse(found.isUnconfirmedLoss());
    }

    @Test
    void driftThatHasEndedInBetweenStartsAnew() {
        readOnce();
        drift.assess(-20, 8, 1000);
        drift.assess(5, 8, 1100);
        assertTrue(drift.assess(-20, 8, 1250).isUnconfirmedLoss());
    }
}
