package quotagateway.policy.golden;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The virtual clock (ms): runs what is scheduled in order of time, and in order of scheduling at the same time. */
final class Timeline {
    private record Task(double at, long serial, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.<Task>comparingDouble(Task::at).thenComparingLong(Task::serial));
    private final boolean wholeMilliseconds;
    private long nextSerial;
    private double now;

    /**
     * A clock at 0.
     *
     * @param wholeMilliseconds whether every time is rounded up to a whole millisecond, which makes events meet and
     *     values fall exactly on a threshold
     */
    Timeline(boolean wholeMilliseconds) {
        this.wholeMilliseconds = wholeMilliseconds;
    }

    double now() {
        return now;
    }

    /** Schedules an action after a delay (ms). */
    void after(double delayMs, Runnable action) {
        double at = now + Math.max(0, delayMs);
        tasks.add(new Task(wholeMilliseconds ? Math.ceil(at) : at, nextSerial++, action));
    }

    /** Runs all actions that are due before a time, and moves the clock there. */
    void runUntil(double time) {
        while (!tasks.isEmpty() && tasks.peek().at < time) {
            Task task = tasks.poll();
            now = task.at;
            task.action.run();
        }
        now = time;
    }
}
