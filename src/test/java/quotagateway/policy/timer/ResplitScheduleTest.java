package quotagateway.policy.timer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import quotagateway.policy.testing.PolicyValues;

class ResplitScheduleTest {
    @Test
    void nextResplitIsAtTheEndOfThePeriod() {
        ResplitSchedule schedule = new ResplitSchedule(PolicyValues.settings(2));
        assertEquals(250, schedule.nextAfter(0));
        assertEquals(250, schedule.nextAfter(249));
        assertEquals(500, schedule.nextAfter(250));
    }

    @Test
    void gatewaysSpreadTheirResplitsOverThePeriod() {
        assertEquals(125, new ResplitSchedule(PolicyValues.settings(1, 2, true)).nextAfter(0));
        assertEquals(62.5, new ResplitSchedule(PolicyValues.settings(1, 4, true)).nextAfter(0));
    }
}
