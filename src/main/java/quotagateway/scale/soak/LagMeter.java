package quotagateway.scale.soak;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * How late the run's own loops were: what a stand-in or a client notes at a time may have happened so much
 * earlier. Without it a busy machine would be taken for a fault of the nodes.
 */
final class LagMeter {
    private static final double TICK_MS = 10;
    /** Less is within the oracle's slack (ms). */
    private static final double MIN_STALL_MS = 20;
    /** What a late loop had in line is worked off by then (ms). */
    private static final double CATCH_UP_MS = 100;

    /** A loop did nothing between two times (ms of the run). */
    private record Stall(double from, double to) {}

    private final RunClock clock;
    private final List<Stall> stalls = new CopyOnWriteArrayList<>();

    LagMeter(RunClock clock) {
        this.clock = clock;
    }

    /** Measures a group of one loop until it is shut down. */
    void measure(EventLoopGroup group) {
        double due = clock.now() + TICK_MS;
        group.schedule(
                () -> {
                    double now = clock.now();
                    if (now - due > MIN_STALL_MS) {
                        stalls.add(new Stall(due, now));
                    }
                    measure(group);
                },
                (long) TICK_MS,
                TimeUnit.MILLISECONDS);
    }

    /** How late (ms) something may have been noted at this time. */
    double lagAt(double time) {
        double lag = 0;
        for (Stall stall : stalls) {
            if (time > stall.from - TICK_MS && time < stall.to + CATCH_UP_MS) {
                lag += stall.to - stall.from;
            }
        }
        return lag;
    }

    /** The longest stall (ms). */
    double longestStall() {
        return stalls.stream().mapToDouble(s -> s.to - s.from).max().orElse(0);
    }
}
