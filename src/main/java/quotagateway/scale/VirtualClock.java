package quotagateway.scale;

import java.util.Comparator;
import java.util.PriorityQueue;

/** One clock (ms) that moves from event to event; events of one moment keep their order. */
final class VirtualClock {
    private record Event(double at, long serial, Runnable what) {}

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

    void after(double delay, Runnable what) {
        events.add(new Event(now + Math.max(0, delay), serial++, what));
    }

    /** Runs all that falls due until then; between is asked before each event, and ends it by throwing. */
    void to(double time, Runnable between) {
        while (!events.isEmpty() && events.peek().at <= time) {
            Event e = events.poll();
            now = e.at;
            between.run();
            e.what.run();
        }
        now = time;
    }
}
