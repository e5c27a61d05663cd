package quotagateway.policy.health;

import java.util.HashMap;
import java.util.Map;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.statistics.DecayingValue;

/**
 * Estimates how likely one endpoint is to fail a request or to be unreachable, for each request class: an endpoint may
 * fail one class and serve the others.
 */
public final class FailureEstimator {
    /** Time in which the share of failures halves; slowness has nearly decayed by then. */
    private static final double FAILURE_HALF_LIFE_MS = 4 * LatencyEstimator.SLOWNESS_HALF_LIFE_MS;

    /** By class name, without the classes that have never failed; null if no class has failed. */
    private Map<String, DecayingValue> failureShares;

    /** Returns the share of this class's attempts that fail, from 0 to 1. */
    public double failureShare(RequestClass requestClass, double now) {
        if (failureShares == null) {
            return 0; // the case of most endpoints when the routing compares all of them
        }
        DecayingValue share = failureShares.get(requestClass.name());
        return share == null ? 0 : share.valueAt(now);
    }

    public void recordSuccess(RequestClass requestClass, double now) {
        DecayingValue share = failureShares == null ? null : failureShares.get(requestClass.name());
        if (share != null) {
            add(share, 0, now);
        }
    }

    public void recordFailure(RequestClass requestClass, double now) {
        if (failureShares == null) {
            failureShares = new HashMap<>();
        }
        DecayingValue share = failureShares.get(requestClass.name());
        if (share == null) {
            share = new DecayingValue(0, FAILURE_HALF_LIFE_MS, now);
            failureShares.put(requestClass.name(), share);
        }
        add(share, 1, now);
    }

    /**
     * Gives the newest sample as much weight as all earlier ones together: a single failure is reason enough to try
     * another endpoint.
     */
    private static void add(DecayingValue share, double failed, double now) {
        share.set((share.valueAt(now) + failed) / 2, now);
    }

    /** Discards all samples because another process now runs at the endpoint. */
    public void reset() {
        failureShares = null;
    }
}
