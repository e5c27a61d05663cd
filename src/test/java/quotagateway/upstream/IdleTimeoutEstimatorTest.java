package quotagateway.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IdleTimeoutEstimatorTest {
    private static void use(IdleTimeoutEstimator limit, double idle, int served, int reset) {
        for (int i = 0; i < served + reset; i++) {
            limit.usedAgain(idle, i >= served);
        }
    }

    @Test
    void anAgeAtWhichConnectionsAreFoundDeadIsGivenUpAndAllOlder() {
        IdleTimeoutEstimator limit = new IdleTimeoutEstimator();
        use(limit, 30, 100, 4);
        use(limit, 150, 20, 10);
        assertTrue(limit.allows(99));
        assertFalse(limit.allows(100));
        assertFalse(limit.allows(5000));
    }

    @Test
    void resetsThatNewConnectionsSeeTooAreNoReason() {
        IdleTimeoutEstimator limit = new IdleTimeoutEstimator();
        for (int i = 0; i < 100; i++) {
            limit.usedNew(i % 5 == 0);
        }
        use(limit, 150, 70, 30);
        assertTrue(limit.allows(5000));
    }

    @Test
    void aFewResetsMayBeChance() {
        IdleTimeoutEstimator limit = new IdleTimeoutEstimator();
        use(limit, 150, 2, 2);
        assertTrue(limit.allows(150));
    }

    @Test
    void anAgeIsTriedAgainOnceWhatWasSeenIsOld() {
        IdleTimeoutEstimator limit = new IdleTimeoutEstimator();
        use(limit, 150, 10, 10);
        assertFalse(limit.allows(150));
        limit.fade(0.5);
        assertFalse(limit.allows(150));
        limit.fade(0.3);
        assertTrue(limit.allows(150));
    }
}
