package quotagateway.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class OutlierDetectorTest {
    private final OutlierDetector detector = new OutlierDetector();

    private double ejectAndMeasureMs(double now) {
        detector.eject(now);
        double until = now;
        while (detector.isEjected(until)) {
            until += 100;
        }
        return until - now;
    }

    @Test
    void threeConsecutiveFailuresRequestAnEjection() {
        assertFalse(detector.recordFailure(1, 0));
        assertFalse(detector.recordFailure(1, 0));
        assertTrue(detector.recordFailure(1, 0));
    }

    @Test
    void successClearsFailures() {
        detector.recordFailure(2, 0);
        detector.recordSuccess();
        assertFalse(detector.recordFailure(2, 0));
    }

    @Test
    void ejectionsAreDoubledUpToEightSeconds() {
        double now = 0;
        for (double lengthMs : new double[] {500, 1000, 2000, 4000, 8000, 8000}) {
            assertEquals(lengthMs, ejectAndMeasureMs(now));
            now += lengthMs;
        }
        detector.recordSuccess();
        assertEquals(500, ejectAndMeasureMs(now));
    }

    @Test
    void endpointOnProbationIsEjectedByOneFailureOnceItsEjectionHasEnded() {
        detector.eject(0);
        assertTrue(detector.isOnProbation());
        assertFalse(detector.recordFailure(0.5, 400), "already ejected");
        assertTrue(detector.recordFailure(0.5, 500));
        detector.recordSuccess();
        assertFalse(detector.isOnProbation());
    }

    @Test
    void endpointMayHaveRestartedWhenItWasUnreachableOnProbation() {
        detector.recordUnreachable();
        assertFalse(detector.mayHaveRestarted(), "may be chance without probation");
        detector.eject(0);
        detector.recordUnreachable();
        assertTrue(detector.mayHaveRestarted());
        detector.recordSuccess();
        assertFalse(detector.mayHaveRestarted());
    }

    @Test
    void newProcessIsNotEjectedButOnProbationUntilItAnswers() {
        detector.eject(0);
        detector.onNewProcess();
        assertFalse(detector.isEjected(100));
        assertTrue(detector.isOnProbation());
        detector.reset();
        assertFalse(detector.isOnProbation());
    }
}
