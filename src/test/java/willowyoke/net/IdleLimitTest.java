package willowyoke.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IdleLimitTest {
    private static void use(IdleLimit limit, double idle, int served, int reset) {
        for (int i = 0; i < served + reset; i++) {
            limit.usedAgain(idle, i >= served);
        }
    }

    @Test
    void anAgeAtWhichConnectionsAreFoundDeadIsGivenUpAndAllOlder() {
        IdleLimit limit = new IdleLimit();
        use(limit, 30, 100, 4);
        use(limit, 150, 20, 10);
        assertTrue(limit.allows(99));
        assertFalse(limit.allows(100));
        assertFalse(limit.allows(5000));
    }

    @Test
    void resetsThatNewConnectionsSeeTooAreNoReason() {
        IdleLimit limit = new IdleLimit();
        for (int i = 0; i < 100; i++) {
            limit.usedNew(i % 5 == 0);
        }
        use(limit, 150, 70, 30);
        assertTrue(limit.allows(5000));
    }

    @Test
    void aFewResetsMayBeChance() {
        IdleLimit limit = new IdleLimit();
        use(limit, 150, 2, 2);
        assertTrue(limit.allows(150));
    }

    @Test
    void anAgeIsTriedAgainOnceWhatWasSeenIsOld() {
        IdleLimit limit = new IdleLimit();
        use(limit, 150, 10, 10);
        assertFalse(limit.allows(150));
        limit.fade(0.5);
        assertFalse(limit.allows(150));
        limit.fade(0.3);
        assertTrue(limit.allows(150));
    }
}
