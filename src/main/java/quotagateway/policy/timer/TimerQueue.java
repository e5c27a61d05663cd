package quotagateway.policy.timer;

import java.util.Comparator;
import java.util.PriorityQueue;
import quotagateway.policy.api.PolicyActions;

/**
 * Runs all timers of the policy on a single timer of the host, which is armed for the earliest one. Tasks that are due
 * at the same time run in the order in which they were scheduled. A timer is never cancelled: a task that is no longer
 * needed detects this when it runs.
 */
public final class TimerQueue {
    private record Timer(double at, long serial, Runnable task) {}

    /**
     * The host is the program that runs the policy. Because delays and clock times are rounded, a timer event may have
     * a time that is earlier than the requested one by less than this. A later time needs no tolerance.
     */
    private static final double CLOCK_TOLERANCE_MS = 1e-3;
    /** A timer must be earlier by more than this to replace the timer that the host has. */
    private static final double REARM_TOLERANCE_MS = CLOCK_TOLERANCE_MS / 1000;

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::serial));
    private final EventClock clock;
    private final PolicyActions host;
    private long nextSerial;
    /** When the timer that was last requested from the host fires. */
    private double armedAt = Double.MAX_VALUE;

    public TimerQueue(EventClock clock, PolicyActions host) {
        this.clock = clock;
        this.host = host;
    }

    /** Runs a task in the first event at or after this time. */
    public void schedule(double at, Runnable task) {
        queue.add(new Timer(at, nextSerial++, task));
        if (at < armedAt - REARM_TOLERANCE_MS) {
            arm();
        }
    }

    /** Ensures that there is an event at this time, for the work that the policy does in every event. */
    public void scheduleWakeUp(double at) {
        schedule(at, () -> {});
    }

    /** Runs every task that is due, including tasks that become due because another task runs. */
    public void runDue() {
        while (!queue.isEmpty() && queue.peek().at <= clock.now()) {
            queue.poll().task.run();
        }
    }

    /** Returns whether the host's timer of this time is the last one requested; a superseded timer may still fire. */
    public boolean isLastArmed(double time) {
        return time >= armedAt - CLOCK_TOLERANCE_MS;
    }

    /** Requests the earliest timer from the host. The queue must not be empty. */
    public void arm() {
        armedAt = queue.peek().at;
        host.scheduleTimer(Math.max(0, armedAt - clock.now()), 0);
    }
}
