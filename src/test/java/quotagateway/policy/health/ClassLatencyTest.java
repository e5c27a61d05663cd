package quotagateway.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import quotagateway.policy.testing.PolicyFixtures;

class ClassLatencyTest {
    private final ClassLatency latency = new ClassLatency(PolicyFixtures.READ);

    @Test
    void initialMeanIsAnEighthOfTheObjective() {
        assertEquals(100, latency.meanMs());
    }

    @Test
    void responsesMoveTheMeanSlowly() {
        latency.record(200);
        assertEquals(103, latency.meanMs(), 1e-9);
    }

    @Test
    void attemptWithoutAResponseOnlyRaisesTheMean() {
        latency.recordAtLeast(50);
        assertEquals(100, latency.meanMs());
        latency.recordAtLeast(200);
        assertEquals(103, latency.meanMs(), 1e-9);
    }
}
