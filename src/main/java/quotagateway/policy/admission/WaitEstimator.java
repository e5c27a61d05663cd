package quotagateway.policy.admission;

import quotagateway.policy.api.RequestClass;

/**
 * Guesses how long the client of a request has waited elsewhere before. Most clients of a class name one time-out; one
 * that names less than that has spent the rest of its deadline on an earlier try.
 */
final class WaitEstimator {
    /** Time-outs are told apart by so many parts of the class's deadline. */
    private static final int PARTS = 32;
    /** So many of one part, and all counts are halved: what clients do may change. */
    private static final int MAX_COUNT = 1000;

    private final RequestClass requestClass;
    private final DecayingMode parts = new DecayingMode(PARTS + 1, MAX_COUNT);

    WaitEstimator(RequestClass requestClass) {
        this.requestClass = requestClass;
    }

    /** Counts the time-out of a new request; returns how long its client has waited before (ms), 0 for not at all. */
    double waitedBefore(double clientTimeoutMs) {
        double deadline = requestClass.deadline();
        int part = (int) Math.min(PARTS, Math.max(0, clientTimeoutMs) / deadline * PARTS);
        return part < parts.add(part) - 1 ? deadline - clientTimeoutMs : 0;
    }
}
