package quotagateway.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.policy.testing.PolicyFixtures;

class FailureEstimatorTest {
    private static final RequestClass READ = PolicyFixtures.READ;
    private static final RequestClass OTHER =
            PolicyFixtures.requestClass(Idempotency.NON_IDEMPOTENT, RetryScope.ALL, 0);

    private final FailureEstimator estimator = new FailureEstimator();

    @Test
    void newestSampleCountsHalf() {
        estimator.recordFailure(READ, 0);
        assertEquals(0.5, estimator.failureShare(READ, 0));
        estimator.recordFailure(READ, 0);
        assertEquals(0.75, estimator.failureShare(READ, 0));
        estimator.recordSuccess(READ, 0);
        assertEquals(0.375, estimator.failureShare(READ, 0));
    }

    @Test
    void failuresOfOneClassDoNotAffectAnother() {
        estimator.recordFailure(READ, 0);
        assertEquals(0, estimator.failureShare(OTHER, 0));
    }

    @Test
    void failuresDecayWithTimeAndAreResetForANewProcess() {
        estimator.recordFailure(READ, 0);
        assertEquals(0.25, estimator.failureShare(READ, 16_000), 1e-9);
        estimator.reset();
        assertEquals(0, estimator.failureShare(READ, 0));
    }
}
