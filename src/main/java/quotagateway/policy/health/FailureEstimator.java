package quotagateway.policy.health;

import java.util.HashMap;
import java.util.Map;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.statistics.DecayingValue;

/**
 * How likely one endpoint fails a request, or cannot be reached, for each request class: an endpoint may fail one class
 * and serve the others.
 */
public final class FailureEstimator {
    /** Half is forgotten in this time, in which slowness is nearly gone. */
    private static final double FAILURE_HALF_LIFE_MS = 4 * LatencyEstimator.SLOWNESS_HALF_LIFE_MS;

    /** By the name of the class; none for classes that never failed, and null where none did. */
    private Map<String, DecayingValue> failureShares;

    /** The part of this class's attempts that fail, from 0 to 1. */
    public double failureShare(RequestClass requestClass, double now) {
        if (failureShares == null) {
            return 0; // as of most endpoints, in the choice among all of them
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

    /** The newest sample counts as much as all before it: one failure is reason enough to try elsewhere. */
    private static void add(DecayingValue share, double failed, double now) {
        share.set((share.valueAt(now) + failed) / 2, now);
    }

    /** Forgets everything: another process answers there now. */
    public void reset() {
        failureShares = null;
    }
}
