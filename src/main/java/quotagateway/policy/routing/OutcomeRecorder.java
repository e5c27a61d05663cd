package quotagateway.policy.routing;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.endpoint.Endpoint;
import quotagateway.policy.endpoint.EndpointRegistry;
import quotagateway.policy.health.ClassLatency;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.traffic.SendRateLimiter;

/** Updates the estimates of an endpoint, of a request class and of the send rate by the outcome of an attempt. */
public final class OutcomeRecorder {
    /** An attempt that failed at an endpoint that can be reached. */
    private static final double ORDINARY_FAILURE_WEIGHT = 1;
    /** An endpoint that rejects for lack of capacity is alive: its slowness lowers its load before it is ejected. */
    private static final double FULL_FAILURE_WEIGHT = 0.5;
    /** A single failed connect may be chance; a process that has ended fails the next one, and the trial too. */
    private static final double UNREACHABLE_FAILURE_WEIGHT = 2;

    private final EndpointRegistry endpoints;
    private final SendRateLimiter limiter;
    private final EventClock clock;

    public OutcomeRecorder(EndpointRegistry endpoints, SendRateLimiter limiter, EventClock clock) {
        this.endpoints = endpoints;
        this.limiter = limiter;
        this.clock = clock;
    }

    /** Records the outcome of an attempt; called once for each attempt, after {@link Endpoint} has ended it. */
    public void record(Endpoint endpoint, ClassLatency classLatency, CallOutcome outcome, double tookMs) {
        RequestClass requestClass = classLatency.requestClass();
        double now = clock.now();
        switch (outcome) {
            case OK -> {
                endpoint.failures().recordSuccess(requestClass, now);
                onResponse(endpoint, classLatency, tookMs);
            }
            case TIMEOUT -> {
                endpoint.failures().recordFailure(requestClass, now);
                onTimeout(endpoint, classLatency, tookMs);
            }
            case FULL -> {
                endpoint.failures().recordFailure(requestClass, now);
                endpoint.latency().recordFull(now);
                onFailure(endpoint, FULL_FAILURE_WEIGHT);
            }
            case NO_CONNECTION -> {
                endpoint.failures().recordFailure(requestClass, now);
                endpoint.outlierDetector().recordUnreachable();
                onFailure(endpoint, UNREACHABLE_FAILURE_WEIGHT);
            }
            case RESET -> {
                endpoint.failures().recordFailure(requestClass, now);
                onFailure(endpoint, ORDINARY_FAILURE_WEIGHT); // a process that has ended resets all of its connections
            }
            case ERROR -> endpoint.failures().recordFailure(requestClass, now);
            case CANCELLED, NOT_SENT -> {} // no evidence about the endpoint
        }
    }

    private void onResponse(Endpoint endpoint, ClassLatency classLatency, double tookMs) {
        double now = clock.now();
        endpoint.latency().record(tookMs / classLatency.meanMs(), now);
        classLatency.record(tookMs);
        adaptLimits(endpoint, classLatency, tookMs);
        if (endpoint.outlierDetector().mayHaveRestarted()) {
            endpoints.startSlowStart(endpoint, now); // the endpoint list may report the restart later
        }
        endpoint.outlierDetector().recordSuccess();
    }

    private void onTimeout(Endpoint endpoint, ClassLatency classLatency, double tookMs) {
        endpoint.latency().record(Math.max(1, tookMs / classLatency.meanMs()), clock.now());
        classLatency.recordAtLeast(tookMs);
        adaptLimits(endpoint, classLatency, tookMs);
        onFailure(endpoint, ORDINARY_FAILURE_WEIGHT);
    }

    /** Adapts the send rate and the concurrency limit; the send rate has counted a late attempt when it became late. */
    private void adaptLimits(Endpoint endpoint, ClassLatency classLatency, double tookMs) {
        double objectiveMs = classLatency.requestClass().latencyObjective();
        if (tookMs <= objectiveMs * SendRateLimiter.LATE_OBJECTIVE_FRACTION) {
            limiter.onTimelyResponse();
        }
        endpoint.concurrencyLimit().record(tookMs, objectiveMs, endpoint.inFlight());
    }

    /** Counts a failure; ejects the endpoint on enough evidence if the fleet can spare another endpoint. */
    private void onFailure(Endpoint endpoint, double weight) {
        double now = clock.now();
        if (endpoint.outlierDetector().recordFailure(weight, now) && endpoints.canEjectOneMore()) {
            endpoint.outlierDetector().eject(now);
        }
    }
}
