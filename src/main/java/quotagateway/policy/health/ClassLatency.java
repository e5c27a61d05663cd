package quotagateway.policy.health;

import static quotagateway.policy.statistics.Ewma.SLOW_EWMA_WEIGHT;

import quotagateway.policy.api.RequestClass;
import quotagateway.policy.statistics.Ewma;

/**
 * How long responses of a request class take, over all endpoints. Endpoints are judged by this mean, so it moves
 * slowly.
 */
public final class ClassLatency {
    /** Until seen: a latency objective leaves time for a queue, a retry and the network. */
    private static final double INITIAL_PART_OF_OBJECTIVE = 1.0 / 8;

    private final RequestClass requestClass;
    private final Ewma meanMs;

    public ClassLatency(RequestClass requestClass) {
        this.requestClass = requestClass;
        meanMs = new Ewma(SLOW_EWMA_WEIGHT, requestClass.latencyObjective() * INITIAL_PART_OF_OBJECTIVE);
    }

    public RequestClass requestClass() {
        return requestClass;
    }

    public double meanMs() {
        return meanMs.value();
    }

    /** A response took so long. */
    public void record(double tookMs) {
        meanMs.add(tookMs);
    }

    /** An attempt ended without a response after so long: it would have taken longer. */
    public void recordAtLeast(double tookMs) {
        meanMs.add(Math.max(meanMs(), tookMs));
    }
}
