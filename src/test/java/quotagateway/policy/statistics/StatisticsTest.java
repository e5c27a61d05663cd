package quotagateway.policy.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;

class StatisticsTest {
    @Test
    void ewmaMovesByItsWeightTowardsEachSample() {
        Ewma mean = new Ewma(0.25, 4);
        mean.add(8);
        assertEquals(5, mean.value());
        mean.add(9, 0.5);
        assertEquals(7, mean.value());
    }

    @Test
    void decayingValueHalvesItsDistanceFromTheBaselineInEveryHalfLife() {
        DecayingValue value = new DecayingValue(1, 100, 0);
        assertEquals(1, value.valueAt(50));
        value.set(9, 100);
        assertEquals(5, value.valueAt(200));
        assertEquals(3, value.valueAt(300));
        assertEquals(9, value.lastValue());
        value.reset();
        assertEquals(1, value.valueAt(100));
    }

    @Test
    void objectivesCountEachClassOnce() {
        LatencyObjectives objectives = LatencyObjectives.of(List.of(requestClass(100), requestClass(300)));
        assertEquals(200, objectives.meanMs());
        assertEquals(300, objectives.longestMs());
    }

    private static RequestClass requestClass(double ms) {
        return new RequestClass("c" + ms, Idempotency.IDEMPOTENT, RetryScope.ALL, ms, 2000, 1, 0, 0, false);
    }
}
