package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.testing.PolicyFixtures;

/**
 * Tests drift detection with a burst of 8, where a drift of more than one unit is significant. The gateway is the third
 * one (position 2), and each turn takes 50 ms.
 */
class DriftDetectorTest {
    private final QuotaFixture fixture = new QuotaFixture(4);
    private final QuotaScope scope = QuotaScope.of("c", PolicyFixtures.RATE_PLAN, 4, 2, true);
    private final DriftDetector detector = new DriftDetector(scope, fixture.context);

    private void readOnce() {
        detector.onTotalRead(0, 0);
        detector.assess(8, 8, 0);
        detector.setLastTotal(0, 20);
    }

    @Test
    void readingWithinTheToleranceIsLoweredToTheMaximum() {
        DriftDetector.Drift drift = detector.assess(9, 8, 0);
        assertFalse(drift.significant());
        assertEquals(8, drift.removeFrom(9));
        assertEquals(7.5, detector.assess(7.5, 8, 0).removeFrom(7.5));
    }

    @Test
    void firstTotalOfANameIsSuspect() {
        detector.onTotalRead(0, 0);
        assertTrue(detector.isTotalSuspect());
        detector.assess(8, 8, 0);
        assertFalse(detector.isTotalSuspect(), "the reading is possible");
    }

    @Test
    void totalThatHasFallenByMoreThanHalfABurstIsSuspect() {
        readOnce();
        detector.onTotalRead(0, 17);
        assertFalse(detector.isTotalSuspect());
        detector.onTotalRead(0, 3);
        assertTrue(detector.isTotalSuspect());
    }

    @Test
    void excessOfATrustedTotalIsCorrectedImmediately() {
        readOnce();
        DriftDetector.Drift drift = detector.assess(12, 8, 1000);
        assertEquals(4, drift.units());
        assertTrue(drift.toBeCorrected());
        assertEquals(8, drift.removeFrom(12));
    }

    @Test
    void excessIsCorrectedImmediatelyByTheFirstGatewayToAddToTheTotal() {
        detector.onTotalRead(0, 0);
        assertTrue(detector.assess(100, 8, 1000).toBeCorrected());
    }

    @Test
    void excessOfASuspectTotalIsCorrectedInTurnByTheOthers() {
        detector.onTotalRead(0, 1);
        assertFalse(detector.assess(100, 8, 1000).toBeCorrected());
        assertFalse(detector.assess(100, 8, 1099).toBeCorrected());
        assertTrue(detector.assess(100, 8, 1100).toBeCorrected());
    }

    @Test
    void missingUnitsHaveOnePeriodToComeBack() {
        readOnce();
        DriftDetector.Drift drift = detector.assess(-20, 8, 1000);
        assertTrue(drift.isUnconfirmedLoss());
        assertEquals(-20 + 6.4, drift.units(), 1e-9, "the units of one latency objective may be claimed ahead");
        drift = detector.assess(-20, 8, 1250);
        assertTrue(drift.toBeCorrected());
        assertFalse(drift.isUnconfirmedLoss());
    }

    @Test
    void driftThatEndedInBetweenStartsOver() {
        readOnce();
        detector.assess(-20, 8, 1000);
        detector.assess(5, 8, 1100);
        assertTrue(detector.assess(-20, 8, 1250).isUnconfirmedLoss());
    }
}
