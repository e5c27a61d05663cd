package quotagateway.scale;

import java.util.HashMap;
import java.util.Map;
import quotagateway.policy.api.CallOutcome;

/**
 * The shared counter on the virtual clock: one queue that serves a limited number of calls a second, at the end of a
 * network way. A call whose reply would come after the caller's time limit is added all the same, as a real counter
 * under load does.
 */
final class SimulatedCounter {
    private final VirtualClock clock;
    private final double msPerCall;
    private final double roundTripMs;
    private final Map<Long, Double> totals = new HashMap<>();
    private double queueEmptyAt;
    long calls;
    long lateCalls;

    SimulatedCounter(VirtualClock clock, double callsPerSecond, double roundTripMs) {
        this.clock = clock;
        msPerCall = 1000 / callsPerSecond;
        this.roundTripMs = roundTripMs;
    }

    /** Queues a call of a node, which is told the new total, or that its call timed out. */
    void add(SimulatedNode from, long name, double amount) {
        calls++;
        double calledAt = clock.now();
        int calledBy = from.processNumber();
        queueEmptyAt = Math.max(queueEmptyAt, calledAt + roundTripMs / 2) + msPerCall;
        boolean late = queueEmptyAt + roundTripMs / 2 - calledAt > ScaleSettings.COUNTER_TIMEOUT_MS;
        clock.schedule(queueEmptyAt - calledAt, () -> {
            double total = totals.merge(name, amount, Double::sum);
            if (!late) {
                clock.schedule(
                        roundTripMs / 2,
                        () -> from.onCounterReply(calledBy, name, CallOutcome.OK, clock.now() - calledAt, total));
            }
        });
        if (late) {
            lateCalls++;
            loseCall(from, name);
        }
    }

    /** Lets a call of a node time out. */
    void loseCall(SimulatedNode from, long name) {
        int calledBy = from.processNumber();
        clock.schedule(
                ScaleSettings.COUNTER_TIMEOUT_MS,
                () -> from.onCounterReply(calledBy, name, CallOutcome.TIMEOUT, ScaleSettings.COUNTER_TIMEOUT_MS, 0));
    }
}
