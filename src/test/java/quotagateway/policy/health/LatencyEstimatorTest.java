package quotagateway.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LatencyEstimatorTest {
    private final LatencyEstimator estimator = new LatencyEstimator();

    @Test
    void newEndpointHasASlownessOfOne() {
        assertEquals(1, estimator.slowness(5000));
    }

    @Test
    void slownessMovesAFifthTowardsASampleAndDecays() {
        estimator.record(6, 1000);
        assertEquals(2, estimator.slowness(1000), 1e-9);
        assertEquals(1.5, estimator.slowness(5000), 1e-9, "half of the distance from 1 after 4 s");
    }

    @Test
    void singleSampleIsCappedAtThirtyTimesTheMean() {
        estimator.record(1000, 0);
        assertEquals(1 + 29 * 0.2, estimator.slowness(0), 1e-9);
    }

    @Test
    void fullEndpointCountsAsTwiceAsSlow() {
        estimator.recordFull(0);
        assertEquals(1.2, estimator.slowness(0), 1e-9);
        estimator.reset();
        assertEquals(1, estimator.slowness(0));
    }
}
