package quotagateway.policy.slowstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.testing.PolicyFixtures;

/** Tests each component of slow start on its own. */
class SlowStartComponentsTest {
    private final SlowStartRamp ramp = new SlowStartRamp(PolicyFixtures.RULES);
    private final SlowStartBudget budget = new SlowStartBudget(PolicyFixtures.RULES);
    private final FleetSizeEstimator fleetSize = new FleetSizeEstimator();

    @Test
    void endpointWithoutAKnownStartIsWarm() {
        assertTrue(ramp.isWarm(0));
    }

    @Test
    void capacityGrowsLinearlyFromTheInitialShare() {
        ramp.start(1000);
        assertEquals(0.2, ramp.warmupFraction(1000), 1e-9);
        assertEquals(0.6, ramp.warmupFraction(6000), 1e-9);
        assertTrue(ramp.isWarm(11_000));
        assertEquals(0.2, ramp.warmupFraction(500), 1e-9, "the clock is behind the start time");
    }

    @Test
    void earlierStartDoesNotShortenTheRamp() {
        ramp.start(1000);
        ramp.start(0);
        assertEquals(0.2, ramp.warmupFraction(1000), 1e-9);
    }

    @Test
    void firstRequestIsDueUntilItIsSent() {
        assertFalse(ramp.isFirstRequestDue(1e12));
        ramp.expectFirstRequestAt(500);
        assertFalse(ramp.isFirstRequestDue(499));
        assertTrue(ramp.isFirstRequestDue(500));
        ramp.onSend();
        assertFalse(ramp.isFirstRequestDue(500));
    }

    @Test
    void sendsAreDueAtTheRate() {
        budget.restart(0.5, 0);
        assertFalse(budget.allowsSend(0.01, 49));
        assertTrue(budget.allowsSend(0.01, 51));
        budget.onSend();
        assertFalse(budget.allowsSend(0.01, 51));
    }

    @Test
    void unusedSendsLapseBeyondTwoWindows() {
        budget.restart(0, 0);
        budget.allowsSend(0.001, 100_000); // 100 sends are due; the sends of 4 s at this rate are kept
        int sends = 0;
        while (budget.allowsSend(0.001, 100_000)) {
            budget.onSend();
            sends++;
        }
        assertEquals(4, sends);
    }

    @Test
    void sizeEstimateFallsSlowlyAfterTheFleetHasShrunk() {
        fleetSize.onGrowth(100);
        for (int period = 0; period < 40; period++) { // 10 s
            fleetSize.endPeriod(50);
        }
        assertTrue(fleetSize.estimatedSize() > 90, "after 10 s: " + fleetSize.estimatedSize());
        for (int period = 0; period < 1200; period++) { // 5 minutes
            fleetSize.endPeriod(50);
        }
        assertEquals(50, fleetSize.estimatedSize(), 1);
        fleetSize.onGrowth(60);
        assertEquals(60, fleetSize.estimatedSize());
    }
}
