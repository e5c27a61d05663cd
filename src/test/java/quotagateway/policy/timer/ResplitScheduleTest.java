package quotagateway.policy.timer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.testing.PolicyFixtures;

class ResplitScheduleTest {
    @Test
    void nextResplitIsAtTheEndOfThePeriod() {
        ResplitSchedule schedule = new ResplitSchedule(PolicyFixtures.settings(2));
        assertEquals(250, schedule.nextAfter(0));
        assertEquals(250, schedule.nextAfter(249));
        assertEquals(500, schedule.nextAfter(250));
    }

    @Test
    void gatewaysSpreadTheirResplitsOverThePeriod() {
        assertEquals(125, new ResplitSchedule(PolicyFixtures.settings(1, 2, true)).nextAfter(0));
        assertEquals(62.5, new ResplitSchedule(PolicyFixtures.settings(1, 4, true)).nextAfter(0));
    }

    /**
     * Guards against an endless loop. A timer that fires exactly at a re-split requests the next one. Because of
     * rounding, the schedule returned the time of the request itself, so that the policy ran the same timer forever
     * and the event loop never returned.
     */
    @Test
    void nextResplitIsLaterThanTheOneThatIsDueNow() {
        for (int gateways = 1; gateways <= 60; gateways++) {
            for (int gateway = 0; gateway < gateways; gateway++) {
                ResplitSchedule schedule = new ResplitSchedule(PolicyFixtures.settings(gateway, gateways, true));
                double now = 0;
                for (int i = 0; i < 40; i++) {
                    double next = schedule.nextAfter(now);
                    assertTrue(next > now, "gateway " + gateway + " of " + gateways + " at " + now);
                    assertTrue(next - now < 250 + 1e-6, "no re-split is skipped: " + now + ", " + next);
                    now = next;
                }
            }
        }
    }
}
