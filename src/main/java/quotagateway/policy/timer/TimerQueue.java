package quotagateway.policy.timer;

import java.util.Comparator;
import java.util.PriorityQueue;
import quotagateway.policy.api.PolicyActions;

/** Many timers over a host that is asked for one at a time, the next; those of one moment fire in order. */
public final class TimerQueue<T> {
    private record Timer<T>(double at, long serial, T what) {}

    /** Clocks of host and module differ by less than this (ms) for one moment. */
    private static final double SAME = 1e-3;

    private final PriorityQueue<Timer<T>> queue =
            new PriorityQueue<>(Comparator.<Timer<T>>comparingDouble(Timer::at).thenComparingLong(Timer::serial));
    private final PolicyActions host;
    private long serial;
    private double armed = Double.MAX_VALUE;

    public TimerQueue(PolicyActions host) {
        this.host = host;
    }

    public void add(double now, double at, T what) {
        queue.add(new Timer<>(at, serial++, what));
        if (at < armed - SAME / 1000) {
            arm(now);
        }
    }

    /** The next one that is due, or null. */
    public T poll(double now) {
        return queue.isEmpty() || queue.peek().at > now ? null : queue.poll().what;
    }

    /** Whether the host's timer of this time is the last one asked for; an older one may still come. */
    public boolean isLast(double time) {
        return time >= armed - SAME;
    }

    public void arm(double now) {
        armed = queue.peek().at;
        host.scheduleTimer(Math.max(0, armed - now), 0);
    }
}
