package quotagateway.policy.golden;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A virtual clock (ms) that runs scheduled actions by time, and at equal times in the order of scheduling. */
final class Timeline {
    private record Task(double at, long sequenceNumber, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.<Task>comparingDouble(Task::at).thenComparingLong(Task::sequenceNumber));
    private final boolean wholeMilliseconds;
    private long nextSequenceNumber;
    private double now;

    /**
     * Creates a clock at 0.
     *
     * @param wholeMilliseconds whether every time is rounded up to a whole millisecond, so that events coincide and
     *     values fall exactly on thresholds
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
        tasks.add(new Task(wholeMilliseconds ? Math.ceil(at) : at, nextSequenceNumber++, action));
    }

    /** Runs all actions that are due before a time, and advances the clock to it. */
    void runUntil(double time) {
        while (!tasks.isEmpty() && tasks.peek().at < time) {
            Task task = tasks.poll();
            now = task.at;
            task.action.run();
        }
        now = time;
    }
}
