package quotagateway.scale;

import java.util.ArrayDeque;
import quotagateway.policy.api.CallOutcome;

/** An endpoint on the virtual clock: slots, a bounded queue, and slow start after a restart. */
final class SimulatedEndpoint {
    /** How connections to it end. */
    enum Availability {
        UP,
        /** The process is gone, its machine refuses connections. */
        REFUSING,
        /** The machine is gone: connections time out. */
        SILENT
    }

    /**
     * What each endpoint of a run can do.
     *
     * @param slots requests that it serves at once
     * @param queueLength requests that it holds besides
     * @param serviceMs mean time of a request in a slot, once slow start is over
     */
    record Capacity(int slots, int queueLength, double serviceMs) {
        /** Requests a second that it can serve once slow start is over. */
        double requestsPerSecond() {
            return 1000 * slots / serviceMs;
        }
    }

    private record Job(double serviceMs, Runnable whenDone) {}

    private final Capacity capacity;
    private final VirtualClock clock;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private int busySlots;
    private double slowStartBegan = Double.NEGATIVE_INFINITY;
    /** Counts restarts and stops; jobs of an earlier process never end. */
    private int processNumber;

    Availability availability = Availability.UP;
    long attemptsReceived;
    double lastAttemptAt;
    /** When each attempt since the last restart came; null before the first restart. */
    ArrayDeque<Double> attemptTimesSinceRestart;

    SimulatedEndpoint(Capacity capacity, VirtualClock clock) {
        this.capacity = capacity;
        this.clock = clock;
    }

    /** Starts as a new process; what the old one had in hand is lost. */
    void restart() {
        stop(Availability.UP);
        slowStartBegan = clock.now();
        attemptTimesSinceRestart = new ArrayDeque<>();
    }

    /** Ends the process; what it had in hand is lost. */
    void stop(Availability next) {
        processNumber++;
        busySlots = 0;
        queue.clear();
        availability = next;
    }

    /** The part of its capacity that it has at a time. */
    double warmupFraction(double at) {
        double age = at - slowStartBegan;
        double initialShare = ScaleSettings.SLOW_START_INITIAL_SHARE;
        return age >= ScaleSettings.SLOW_START_DURATION_MS
                ? 1
                : initialShare + (1 - initialShare) * age / ScaleSettings.SLOW_START_DURATION_MS;
    }

    /** How many attempts overload it in a window (ms) that begins at a time. */
    double overloadBudget(double from, double windowMs) {
        return ScaleSettings.OVERLOAD_FACTOR * capacity.requestsPerSecond() * warmupFraction(from) * windowMs / 1000;
    }

    /**
     * Takes a request.
     *
     * @param serviceMs how long it takes in a slot, once slow start is over
     * @param whenDone run when it is served
     * @return null, or {@link CallOutcome#FULL} where slots and queue are full
     */
    CallOutcome accept(double serviceMs, Runnable whenDone) {
        attemptsReceived++;
        lastAttemptAt = clock.now();
        if (attemptTimesSinceRestart != null) {
            attemptTimesSinceRestart.add(lastAttemptAt);
        }
        if (busySlots < capacity.slots) {
            serve(new Job(serviceMs, whenDone));
        } else if (queue.size() < capacity.queueLength) {
            queue.add(new Job(serviceMs, whenDone));
        } else {
            return CallOutcome.FULL;
        }
        return null;
    }

    private void serve(Job job) {
        busySlots++;
        int servedBy = processNumber;
        clock.schedule(job.serviceMs / warmupFraction(clock.now()), () -> {
            if (servedBy == processNumber) {
                busySlots--;
                job.whenDone.run();
                Job next = queue.poll();
                if (next != null) {
                    serve(next);
                }
            }
        });
    }
}
