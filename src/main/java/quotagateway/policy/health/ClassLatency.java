package quotagateway.policy.health;

import static quotagateway.policy.statistics.Ewma.SLOW_EWMA_WEIGHT;

import quotagateway.policy.api.RequestClass;
import quotagateway.policy.statistics.Ewma;

/**
 * Tracks the mean latency of the responses of a request class, over all endpoints. Endpoints are compared with this
 * mean, so it changes slowly.
 */
public final class ClassLatency {
    /**
     * Mean latency before the first response, as a fraction of the latency objective. The objective leaves time for
     * queueing, a retry and the network.
     */
    private static final double INITIAL_OBJECTIVE_FRACTION = 1.0 / 8;

    private final RequestClass requestClass;
    private final Ewma meanMs;

    public ClassLatency(RequestClass requestClass) {
        this.requestClass = requestClass;
        meanMs = new Ewma(SLOW_EWMA_WEIGHT, requestClass.latencyObjective() * INITIAL_OBJECTIVE_FRACTION);
    }

    public RequestClass requestClass() {
        return requestClass;
    }

    public double meanMs() {
        return meanMs.value();
    }

    /** Records the latency of a response. */
    public void record(double tookMs) {
        meanMs.add(tookMs);
    }

    /** Records an attempt that ended without a response after this time; a response would have taken longer. */
    public void recordAtLeast(double tookMs) {
        meanMs.add(Math.max(meanMs(), tookMs));
    }
}
