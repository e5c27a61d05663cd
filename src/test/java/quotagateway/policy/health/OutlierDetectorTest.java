package quotagateway.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class OutlierDetectorTest {
    private final OutlierDetector detector = new OutlierDetector();

    private double ejectionAt(double now) {
        detector.eject(now);
        double until = now;
        while (detector.isEjected(until)) {
            until += 100;
        }
        return until - now;
    }

    @Test
    void threeFailuresInARowAskForAnEjection() {
        assertFalse(detector.recordFailure(1, 0));
        assertFalse(detector.recordFailure(1, 0));
        assertTrue(detector.recordFailure(1, 0));
    }

    @Test
    void successForgetsFailures() {
        detector.recordFailure(2, 0);
        detector.recordSuccess();
        assertFalse(detector.recordFailure(2, 0));
    }

    @Test
    void ejectionsAreDoubledUpToEightSeconds() {
        double now = 0;
        for (double length : new double[] {500, 1000, 2000, 4000, 8000, 8000}) {
            assertEquals(length, ejectionAt(now));
            now += length;
        }
        detector.recordSuccess();
        assertEquals(500, ejectionAt(now));
    }

    @Test
    void endpointOnTrialIsEjectedByOneFailureOnceItsEjectionHasEnded() {
        detector.eject(0);
        assertTrue(detector.isOnTrial());
        assertFalse(detector.recordFailure(0.5, 400), "ejected already");
        assertTrue(detector.recordFailure(0.5, 500));
        detector.recordSuccess();
        assertFalse(detector.isOnTrial());
    }

    @Test
    void endpointMayHaveRestartedWhenItWasUnreachableOnTrial() {
        detector.recordUnreachable();
        assertFalse(detector.mayHaveRestarted(), "may be chance");
        detector.eject(0);
        detector.recordUnreachable();
        assertTrue(detector.mayHaveRestarted());
        detector.recordSuccess();
        assertFalse(detector.mayHaveRestarted());
    }

    @Test
    void newProcessIsNotEjectedButStillOnTrialUntilItAnswers() {
        detector.eject(0);
        detector.onNewProcess();
        assertFalse(detector.isEjected(100));
        assertTrue(detector.isOnTrial());
        detector.reset();
        assertFalse(detector.isOnTrial());
    }
}
