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
 * Chooses the endpoint of an attempt: the one with the fewest requests in flight, weighed by how slow it is and how
 * likely it fails (least request, as Envoy's, over the whole subset in place of two choices).
 */
public final class EndpointPicker {
    /** Scores differ by this part by chance, so that gateways with equal knowledge choose differently. */
    private static final double JITTER = 0.1;
    /** An endpoint that always fails a class scores as if it were so much (plus 1) times slower. */
    private static final double FAILURE_PENALTY = 8;
    /** An endpoint that has had an attempt of this request is chosen when others are so many times worse. */
    private static final double USED_BEFORE_PENALTY = 8;
    /** A retry looks at so many endpoints outside the subset at the most. */
    private static final int MAX_LOOKED_AT_OUTSIDE = 1000;

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

    /** The endpoint for the next attempt of a request with these behind it; null where none may get it now. */
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
                return candidate; // where the others are quick and have no queue its score would never win
            }
            double score = score(attempts, candidate, warmupFraction, now);
            if (best == null || score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return attempts.requestClass().retriesStayInScope() ? orOutsideSubset(attempts, best, now) : best;
    }

    /** How bad a choice the endpoint is; every call draws a random number. */
    private double score(AttemptHistory attempts, Endpoint candidate, double warmupFraction, double now) {
        double score = (candidate.inFlight() + 1) * candidate.slowness(now);
        if (warmupFraction < 1) {
            score /= Math.sqrt(warmupFraction);
        }
        double failureShare = candidate.failures().failureShare(attempts.requestClass(), now);
        score *= (1 + JITTER * random.nextDouble())
                * (1 + FAILURE_PENALTY * failureShare)
                * (attempts.wasSentTo(candidate) ? USED_BEFORE_PENALTY : 1);
        return score;
    }

    /** Ejections, the scope of retries and slow start: whether this request may go there now. */
    private boolean mayReceive(AttemptHistory attempts, Endpoint endpoint, double warmupFraction, double now) {
        if (endpoint.isEjected(now) || !idempotency.isInScope(attempts, endpoint)) {
            return false;
        }
        return warmupFraction >= 1
                || endpoint.ramp().isFirstRequestDue(now)
                || endpoint.slowStartBudget().allowsSend(slowStartRate.sendsPerMs(warmupFraction), now);
    }

    /** A retry that has to stay in a zone or cell of which the subset has no other endpoint takes one outside. */
    private Endpoint orOutsideSubset(AttemptHistory attempts, Endpoint found, double now) {
        Optional<Attempt> ran = attempts.firstThatMayHaveRun();
        if (ran.isEmpty() || (found != null && !attempts.wasSentTo(found))) {
            return found;
        }
        EndpointDescriptor near = ran.get().endpoint().descriptor();
        return endpoints
                .outsideSubset(attempts.requestClass().retryScope(), near, MAX_LOOKED_AT_OUTSIDE)
                .filter(listed -> listed.zone().equals(near.zone()))
                .map(listed -> endpoints.find(listed.id()))
                .filter(other -> !other.isCordoned()
                        && mayReceive(attempts, other, other.ramp().warmupFraction(now), now)
                        && !attempts.wasSentTo(other))
                .findFirst()
                .orElse(found);
    }
}
