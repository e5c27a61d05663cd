package quotagateway.policy.timer;

import java.util.Comparator;
import java.util.PriorityQueue;
import quotagateway.policy.api.PolicyActions;

/**
 * All timers of the policy over a host that is asked for one at a time: the earliest. Tasks that are due at the same
 * moment run in the order in which they were scheduled. A timer is never cancelled; a task that has become pointless
 * finds that out when it runs.
 */
public final class TimerQueue {
    private record Timer(double at, long serial, Runnable task) {}

    /** The host's clock may differ by less than this from the time that was asked for, by rounding. */
    private static final double CLOCK_TOLERANCE_MS = 1e-3;
    /** A timer must be earlier by more than this to be asked for in place of the one that the host has. */
    private static final double REARM_TOLERANCE_MS = CLOCK_TOLERANCE_MS / 1000;

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::serial));
    private final EventClock clock;
    private final PolicyActions host;
    private long nextSerial;
    /** When the timer fires that the host was last asked for. */
    private double armedAt = Double.MAX_VALUE;

    public TimerQueue(EventClock clock, PolicyActions host) {
        this.clock = clock;
        this.host = host;
    }

    /** Runs a task at the first event at or after this time. */
    public void schedule(double at, Runnable task) {
        queue.add(new Timer(at, nextSerial++, task));
        if (at < armedAt - REARM_TOLERANCE_MS) {
            arm();
        }
    }

    /** Makes sure that there is an event at this time: what happens in it is what every event does. */
    public void scheduleWakeUp(double at) {
        schedule(at, () -> {});
    }

    /** Runs every task that is due, also those that become due by another's run. */
    public void runDue() {
        while (!queue.isEmpty() && queue.peek().at <= clock.now()) {
            queue.poll().task.run();
        }
    }

    /** Whether the host's timer of this time is the last one asked for; one that it superseded may still fire. */
    public boolean isLastArmed(double time) {
        return time >= armedAt - CLOCK_TOLERANCE_MS;
    }

    /** Asks the host for the earliest timer. There has to be one. */
    public void arm() {
        armedAt = queue.peek().at;
        host.scheduleTimer(Math.max(0, armedAt - clock.now()), 0);
    }
}
