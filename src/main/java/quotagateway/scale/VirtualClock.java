package quotagateway.scale;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A virtual clock (ms) that moves from event to event, without waiting. Events of the same time run in the order in
 * which they were scheduled.
 */
final class VirtualClock {
    private record Event(double at, long serial, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.<Event>comparingDouble(e -> e.at).thenComparingLong(e -> e.serial));
    private long serial;
    private double now;

    VirtualClock(double now) {
        this.now = now;
    }

    double now() {
        return now;
    }

    /** Schedules an action after a delay (ms); one below 0 counts as 0. */
    void schedule(double delayMs, Runnable action) {
        events.add(new Event(now + Math.max(0, delayMs), serial++, action));
    }

    /**
     * Runs all that is due up to a time, and moves the clock there.
     *
     * @param beforeEachEvent run before each event; ends the advance by throwing
     */
    void advanceTo(double time, Runnable beforeEachEvent) {
        while (!events.isEmpty() && events.peek().at <= time) {
            Event event = events.poll();
            now = event.at;
            beforeEachEvent.run();
            event.action.run();
        }
        now = time;
    }
}
