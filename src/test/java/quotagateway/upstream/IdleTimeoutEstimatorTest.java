package quotagateway.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IdleTimeoutEstimatorTest {
    private static void use(IdleTimeoutEstimator limit, double idle, int served, int reset) {
        for (int i = 0; i < served + reset; i++) {
            limit.recordReuse(idle, i >= served);
        }
    }

    @Test
    void idleTimeWithManyResetsIsGivenUpAndAllLongerOnes() {
        IdleTimeoutEstimator limit = new IdleTimeoutEstimator();
        use(limit, 30, 100, 4);
        use(limit, 150, 20, 10);
        assertTrue(limit.allows(99));
        assertFalse(limit.allows(100));
        assertFalse(limit.allows(5000));
    }

    @Test
    void resetsThatNewConnectionsSeeTooGiveNoIdleTimeUp() {
        IdleTimeoutEstimator limit = new IdleTimeoutEstimator();
        for (int i = 0; i < 100; i++) {
            limit.recordFirstUse(i % 5 == 0);
        }
        use(limit, 150, 70, 30);
        assertTrue(limit.allows(5000));
    }

    @Test
    void fewResetsGiveNoIdleTimeUp() {
        IdleTimeoutEstimator limit = new IdleTimeoutEstimator();
        use(limit, 150, 2, 2);
        assertTrue(limit.allows(150));
    }

    @Test
    void idleTimeGivenUpIsTriedAgainOnceItsResetsAreOld() {
        IdleTimeoutEstimator limit = new IdleTimeoutEstimator();
        use(limit, 150, 10, 10);
        assertFalse(limit.allows(150));
        limit.decay(0.5);
        assertFalse(limit.allows(150));
        limit.decay(0.3);
        assertTrue(limit.allows(150));
    }
}
