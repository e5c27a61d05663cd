package quotagateway.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {
    private static final double OBJECTIVE = 800;
    private static final double QUICK = 100;
    private static final double SLOW = 201;

    private final ConcurrencyLimit limit = new ConcurrencyLimit(OBJECTIVE);

    private int allowed() {
        int inFlight = 0;
        while (limit.allowsAnother(inFlight, 0)) {
            inFlight++;
        }
        return inFlight;
    }

    @Test
    void fourAreAllowedAtFirst() {
        assertEquals(4, allowed());
    }

    @Test
    void quickResponsesRaiseTheLimitOnlyWhereItWasReached() {
        limit.record(QUICK, OBJECTIVE, 0);
        assertEquals(4, allowed());
        for (int i = 0; i < 5; i++) {
            limit.record(QUICK, OBJECTIVE, 3);
        }
        assertEquals(5, allowed());
    }

    @Test
    void slowResponsesLowerTheLimit() {
        limit.record(SLOW, OBJECTIVE, 0);
        assertEquals(3, allowed());
    }

    @Test
    void limitBelowOneIsAPauseBetweenAttempts() {
        for (int i = 0; i < 100; i++) {
            limit.record(SLOW, OBJECTIVE, 0);
        }
        limit.onSend(1000);
        double pause = OBJECTIVE / 2 * 8; // the least limit is an eighth
        assertFalse(limit.allowsAnother(0, 1000 + pause - 1));
        assertTrue(limit.allowsAnother(0, 1000 + pause));
        assertFalse(limit.allowsAnother(1, 1000 + pause));
    }
}
