package quotagateway.policy.admission;

import quotagateway.policy.api.RequestClass;

/**
 * Estimates how long the client of a request has waited elsewhere before. Most clients of a class send the same
 * timeout; a client that sends a shorter one has spent the rest of the class's deadline on an earlier request.
 */
final class WaitEstimator {
    /** Number of buckets that divide the class's deadline; timeouts in one bucket are not distinguished. */
    private static final int TIMEOUT_BUCKETS = 32;
    /** All counts are halved when one bucket reaches this count, because the timeouts of clients may change. */
    private static final int MAX_COUNT = 1000;

    private final RequestClass requestClass;
    private final DecayingMode usualBucket = new DecayingMode(TIMEOUT_BUCKETS + 1, MAX_COUNT);

    WaitEstimator(RequestClass requestClass) {
        this.requestClass = requestClass;
    }

    /** Counts the timeout of a new request and returns how long its client has waited before (ms), 0 if not at all. */
    double recordAndEstimateWait(double clientTimeoutMs) {
        double deadline = requestClass.deadline();
        int bucket = (int) Math.min(TIMEOUT_BUCKETS, Math.max(0, clientTimeoutMs) / deadline * TIMEOUT_BUCKETS);
        return bucket < usualBucket.add(bucket) - 1 ? deadline - clientTimeoutMs : 0;
    }
}
