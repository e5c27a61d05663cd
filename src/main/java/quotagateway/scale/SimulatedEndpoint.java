package quotagateway.scale;

import java.util.ArrayDeque;
import quotagateway.policy.api.CallOutcome;

/** A place server on the virtual clock: slots, a bounded queue, and a slow start after it was cold. */
final class SimulatedEndpoint {
    enum Availability {
        UP,
        REFUSES,
        SILENT
    }

    /** What it is and can do; shared by all servers of a run. */
    record Capacity(int slots, int queue, double service) {
        /** Requests a second that a warm one can serve. */
        double capacity() {
            return 1000 * slots / service;
        }
    }

    private record Job(double work, Runnable done) {}

    private final Capacity kind;
    private final VirtualClock clock;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private int busy;
    private double coldFrom = Double.NEGATIVE_INFINITY;
    private int process;
    Availability life = Availability.UP;
    long got;
    double lastGot;
    /** When each attempt came since it was cold; null where it was never so. */
    ArrayDeque<Double> sinceCold;

    SimulatedEndpoint(Capacity kind, VirtualClock clock) {
        this.kind = kind;
        this.clock = clock;
    }

    /** Starts as a new process; what the old one had is lost. */
    void restart() {
        process++;
        busy = 0;
        queue.clear();
        coldFrom = clock.now();
        sinceCold = new ArrayDeque<>();
        life = Availability.UP;
    }

    /** Ends: silent where its machine vanishes, refusing where only the process is gone. */
    void end(Availability as) {
        process++;
        busy = 0;
        queue.clear();
        life = as;
    }

    /** The part of its capacity that it has at a time. */
    double speed(double at) {
        double age = at - coldFrom;
        return age >= ScaleSettings.WARM_AFTER
                ? 1
                : ScaleSettings.COLD_SHARE + (1 - ScaleSettings.COLD_SHARE) * age / ScaleSettings.WARM_AFTER;
    }

    /** What falls it over: so many attempts in a window (ms) that began then, by the contract's factor. */
    double budget(double from, double window) {
        return ScaleSettings.OVERLOAD_FACTOR * kind.capacity() * speed(from) * window / 1000;
    }

    /** Takes work (ms, as a warm server needs) or turns it away. */
    CallOutcome take(double work, Runnable done) {
        got++;
        lastGot = clock.now();
        if (sinceCold != null) {
            sinceCold.add(lastGot);
        }
        if (busy < kind.slots) {
            begin(new Job(work, done));
        } else if (queue.size() < kind.queue) {
            queue.add(new Job(work, done));
        } else {
            return CallOutcome.FULL;
        }
        return null;
    }

    private void begin(Job job) {
        busy++;
        int then = process;
        clock.after(job.work / speed(clock.now()), () -> {
            if (then == process) {
                busy--;
                job.done.run();
                Job next = queue.poll();
                if (next != null) {
                    begin(next);
                }
            }
        });
    }
}
