package quotagateway.scale;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import quotagateway.policy.api.CallOutcome;

/**
 * Peers of a node that is simulated alone: endpoints that serve every request without a queue, and a counter of its own
 * that never has a queue either.
 */
final class UnloadedPeers implements SimulatedNode.Peers {
    private final VirtualClock clock;
    private final SplittableRandom random;
    private final double serviceMs;
    private final double counterRoundTripMs;
    private final IntConsumer attemptListener;
    private final Map<Long, Double> totals = new HashMap<>();

    /**
     * Peers that respond after random times.
     *
     * @param serviceMs mean time of an endpoint for a request
     * @param attemptListener told the number of the endpoint of each attempt
     */
    UnloadedPeers(
            VirtualClock clock,
            SplittableRandom random,
            double serviceMs,
            double counterRoundTripMs,
            IntConsumer attemptListener) {
        this.clock = clock;
        this.random = random;
        this.serviceMs = serviceMs;
        this.counterRoundTripMs = counterRoundTripMs;
        this.attemptListener = attemptListener;
    }

    @Override
    public void sendAttempt(SimulatedNode node, SimulatedNode.Attempt attempt) {
        attemptListener.accept(attempt.endpoint);
        clock.schedule(
                -serviceMs * Math.log(1 - random.nextDouble()), () -> node.onAttemptEnded(attempt, CallOutcome.OK));
    }

    @Override
    public void addToCounter(SimulatedNode node, long name, double amount) {
        double total = totals.merge(name, amount, Double::sum);
        int calledBy = node.processNumber();
        clock.schedule(
                counterRoundTripMs,
                () -> node.onCounterReply(calledBy, name, CallOutcome.OK, counterRoundTripMs, total));
    }

    /** Frees the memory of the counter, which is no part of the node's. */
    void forgetTotals() {
        totals.clear();
    }
}
