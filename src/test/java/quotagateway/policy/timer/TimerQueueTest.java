package quotagateway.policy.timer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.testing.RecordingActions;

class TimerQueueTest {
    private final EventClock clock = new EventClock(100);
    private final RecordingActions host = new RecordingActions();
    private final TimerQueue timers = new TimerQueue(clock, host);
    private final List<String> ran = new ArrayList<>();

    private void runDueAt(double time) {
        clock.advanceTo(time);
        timers.runDue();
    }

    @Test
    void hostTimerIsRequestedOnlyIfItIsEarlierThanTheArmedOne() {
        timers.schedule(150, () -> {});
        assertEquals(List.of("timer 50.0"), host.take());
        timers.schedule(160, () -> {});
        timers.schedule(150, () -> {});
        assertEquals(List.of(), host.take());
        timers.schedule(120, () -> {});
        assertEquals(List.of("timer 20.0"), host.take());
    }

    @Test
    void tasksRunByTimeAndThenInTheOrderOfScheduling() {
        timers.schedule(130, () -> ran.add("late"));
        timers.schedule(120, () -> ran.add("first"));
        timers.schedule(120, () -> ran.add("second"));
        timers.schedule(110, () -> ran.add("early"));
        runDueAt(119);
        assertEquals(List.of("early"), ran);
        runDueAt(130);
        assertEquals(List.of("early", "first", "second", "late"), ran);
    }

    @Test
    void taskScheduledForNowByAnotherTaskRunsInTheSamePass() {
        timers.schedule(110, () -> timers.schedule(110, () -> ran.add("second")));
        runDueAt(110);
        assertEquals(List.of("second"), ran);
    }

    @Test
    void supersededTimerIsNotTheLastArmedOne() {
        timers.schedule(150, () -> {});
        timers.schedule(120, () -> {});
        assertTrue(timers.isLastArmed(120));
        assertFalse(timers.isLastArmed(110));
        runDueAt(120);
        host.take();
        timers.arm();
        assertEquals(List.of("timer 30.0"), host.take());
        assertFalse(timers.isLastArmed(120));
        assertTrue(timers.isLastArmed(150 - 1e-4), "clocks differ by rounding");
    }

    @Test
    void clockNeverDecreases() {
        clock.advanceTo(90);
        assertEquals(100, clock.now());
    }
}
