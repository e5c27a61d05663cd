package quotagateway.policy.routing;

import java.util.Optional;
import java.util.Random;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.endpoint.Attempt;
import quotagateway.policy.endpoint.Endpoint;
import quotagateway.policy.endpoint.EndpointRegistry;
import quotagateway.policy.retry.AttemptHistory;
import quotagateway.policy.retry.IdempotencyRule;
import quotagateway.policy.slowstart.SlowStartRate;
import quotagateway.policy.timer.EventClock;

/**
 * Chooses the endpoint of an attempt: the one with the fewest requests in flight, weighted by its latency and failure
 * rate. This is least-request balancing as in Envoy, but over the complete subset in place of two random choices.
 */
public final class EndpointPicker {
    /** Largest random fraction added to a score, so that gateways with equal knowledge choose differently. */
    private static final double JITTER = 0.1;
    /** The score of an endpoint that always fails a class is multiplied by 1 plus this value. */
    private static final double FAILURE_PENALTY = 8;
    /** An endpoint that has had an attempt of the request is chosen if the others score worse by this factor. */
    private static final double ALREADY_TRIED_PENALTY = 8;
    /** Maximum number of endpoints outside the subset that a retry considers. */
    private static final int MAX_CANDIDATES_OUTSIDE_SUBSET = 1000;

    private final EndpointRegistry endpoints;
    private final IdempotencyRule idempotency;
    private final SlowStartRate slowStartRate;
    private final EventClock clock;
    private final Random random;

    public EndpointPicker(
            EndpointRegistry endpoints,
            IdempotencyRule idempotency,
            SlowStartRate slowStartRate,
            EventClock clock,
            Random random) {
        this.endpoints = endpoints;
        this.idempotency = idempotency;
        this.slowStartRate = slowStartRate;
        this.clock = clock;
        this.random = random;
    }

    /** Returns the endpoint for the next attempt after these earlier ones, or null if none may receive it now. */
    public Endpoint pick(AttemptHistory attempts) {
        double now = clock.now();
        Endpoint best = null;
        double bestScore = 0;
        for (Endpoint candidate : endpoints.members()) {
            boolean firstRequestDue = candidate.ramp().isFirstRequestDue(now);
            double warmupFraction = candidate.ramp().warmupFraction(now);
            if (!mayReceive(attempts, candidate, warmupFraction, now)
                    || (!firstRequestDue && !candidate.hasCapacity(now))) {
                continue;
            }
            if (firstRequestDue) {
                return candidate; // if the others are fast and have no queue, its score would never win
            }
            double score = score(attempts, candidate, warmupFraction, now);
            if (best == null || score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return attempts.requestClass().retriesStayInScope() ? orElseOutsideSubset(attempts, best, now) : best;
    }

    /** Returns the score of an endpoint; the lowest is chosen. Every call draws a random number. */
    private double score(AttemptHistory attempts, Endpoint candidate, double warmupFraction, double now) {
        double score = (candidate.inFlight() + 1) * candidate.slowness(now);
        if (warmupFraction < 1) {
            score /= Math.sqrt(warmupFraction);
        }
        double failureShare = candidate.failures().failureShare(attempts.requestClass(), now);
        score *= (1 + JITTER * random.nextDouble())
                * (1 + FAILURE_PENALTY * failureShare)
                * (attempts.wasSentTo(candidate) ? ALREADY_TRIED_PENALTY : 1);
        return score;
    }

    /** Whether ejection, the retry scope and slow start allow the endpoint to receive this request now. */
    private boolean mayReceive(AttemptHistory attempts, Endpoint endpoint, double warmupFraction, double now) {
        if (endpoint.isEjected(now) || !idempotency.isInScope(attempts, endpoint)) {
            return false;
        }
        return warmupFraction >= 1
                || endpoint.ramp().isFirstRequestDue(now)
                || endpoint.slowStartBudget().allowsSend(slowStartRate.sendsPerMs(warmupFraction), now);
    }

    /**
     * Returns an endpoint outside the subset for a retry that is limited to a zone or cell in which the subset has no
     * other endpoint; otherwise returns the endpoint found in the subset.
     */
    private Endpoint orElseOutsideSubset(AttemptHistory attempts, Endpoint found, double now) {
        Optional<Attempt> firstExecuted = attempts.firstThatMayHaveRun();
        if (firstExecuted.isEmpty() || (found != null && !attempts.wasSentTo(found))) {
            return found;
        }
        EndpointDescriptor firstEndpoint = firstExecuted.get().endpoint().descriptor();
        return endpoints
                .outsideSubset(attempts.requestClass().retryScope(), firstEndpoint, MAX_CANDIDATES_OUTSIDE_SUBSET)
                .filter(listed -> listed.zone().equals(firstEndpoint.zone()))
                .map(listed -> endpoints.find(listed.id()))
                .filter(other -> !other.isCordoned()
                        && mayReceive(attempts, other, other.ramp().warmupFraction(now), now)
                        && !attempts.wasSentTo(other))
                .findFirst()
                .orElse(found);
    }
}
