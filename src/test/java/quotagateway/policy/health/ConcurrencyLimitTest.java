package quotagateway.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {
    private static final double OBJECTIVE_MS = 800;
    private static final double FAST_MS = 100;
    private static final double SLOW_MS = 201;

    private final ConcurrencyLimit limit = new ConcurrencyLimit(OBJECTIVE_MS);

    private int allowedInFlight() {
        int inFlight = 0;
        while (limit.allowsAnother(inFlight, 0)) {
            inFlight++;
        }
        return inFlight;
    }

    @Test
    void initialLimitIsFour() {
        assertEquals(4, allowedInFlight());
    }

    @Test
    void fastResponsesRaiseTheLimitOnlyIfItWasReached() {
        limit.record(FAST_MS, OBJECTIVE_MS, 0);
        assertEquals(4, allowedInFlight());
        for (int i = 0; i < 5; i++) {
            limit.record(FAST_MS, OBJECTIVE_MS, 3);
        }
        assertEquals(5, allowedInFlight());
    }

    @Test
    void slowResponsesLowerTheLimit() {
        limit.record(SLOW_MS, OBJECTIVE_MS, 0);
        assertEquals(3, allowedInFlight());
    }

    @Test
    void limitBelowOneIsAPauseBetweenAttempts() {
        for (int i = 0; i < 100; i++) {
            limit.record(SLOW_MS, OBJECTIVE_MS, 0);
        }
        limit.onSend(1000);
        double pauseMs = OBJECTIVE_MS / 2 * 8; // the lowest limit is an eighth
        assertFalse(limit.allowsAnother(0, 1000 + pauseMs - 1));
        assertTrue(limit.allowsAnother(0, 1000 + pauseMs));
        assertFalse(limit.allowsAnother(1, 1000 + pauseMs));
    }
}
