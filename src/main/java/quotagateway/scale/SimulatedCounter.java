package quotagateway.scale;

import java.util.HashMap;
import java.util.Map;
import quotagateway.policy.api.CallOutcome;

/** The counter on the virtual clock: one line of calls, so many a second, and a way there and back. */
final class SimulatedCounter {
    private final VirtualClock clock;
    private final double perCall;
    private final double way;
    private final Map<Long, Double> totals = new HashMap<>();
    private double free;
    long calls;
    long late;

    SimulatedCounter(VirtualClock clock, double perSecond, double way) {
        this.clock = clock;
        perCall = 1000 / perSecond;
        this.way = way;
    }

    /** A call that has its turn too late is added all the same, and its caller waits no longer. */
    void add(SimulatedNode from, long name, double amount) {
        calls++;
        double asked = clock.now();
        int life = from.life();
        free = Math.max(free, asked + way / 2) + perCall;
        boolean isLate = free + way / 2 - asked > ScaleSettings.COUNTER_TIMEOUT;
        clock.after(free - asked, () -> {
            double total = totals.merge(name, amount, Double::sum);
            if (!isLate) {
                clock.after(way / 2, () -> from.counted(life, name, CallOutcome.OK, clock.now() - asked, total));
            }
        });
        if (isLate) {
            late++;
            silent(from, name);
        }
    }

    /** A call that is never answered. */
    void silent(SimulatedNode from, long name) {
        int life = from.life();
        clock.after(
                ScaleSettings.COUNTER_TIMEOUT,
                () -> from.counted(life, name, CallOutcome.TIMEOUT, ScaleSettings.COUNTER_TIMEOUT, 0));
    }
}
