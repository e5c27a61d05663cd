package quotagateway.policy.routing;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.endpoint.Endpoint;
import quotagateway.policy.endpoint.EndpointRegistry;
import quotagateway.policy.health.ClassLatency;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.traffic.SendRateLimiter;

/** Tells the estimates of an endpoint, of its request's class and of the send rate what came of an attempt. */
public final class OutcomeRecorder {
    /** An attempt that has failed on an endpoint that answers. */
    private static final double ORDINARY_FAILURE = 1;
    /** An endpoint that rejects as it is full is alive: it is spared by its slowness before it is ejected. */
    private static final double FULL_FAILURE = 0.5;
    /** One failed connect may be chance; a process that has ended fails the next one, and the trial too. */
    private static final double UNREACHABLE_FAILURE = 2;

    private final EndpointRegistry endpoints;
    private final SendRateLimiter limiter;
    private final EventClock clock;

    public OutcomeRecorder(EndpointRegistry endpoints, SendRateLimiter limiter, EventClock clock) {
        this.endpoints = endpoints;
        this.limiter = limiter;
        this.clock = clock;
    }

    /** An attempt has ended; called once for each, after the endpoint was told. */
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
                onFailure(endpoint, FULL_FAILURE);
            }
            case NO_CONNECTION -> {
                endpoint.failures().recordFailure(requestClass, now);
                endpoint.outlierDetector().recordUnreachable();
                onFailure(endpoint, UNREACHABLE_FAILURE);
            }
            case RESET -> {
                endpoint.failures().recordFailure(requestClass, now);
                onFailure(endpoint, ORDINARY_FAILURE); // a process that has ended resets all of its connections
            }
            case ERROR -> endpoint.failures().recordFailure(requestClass, now);
            case CANCELLED, NOT_SENT -> {} // say nothing of the endpoint
        }
    }

    private void onResponse(Endpoint endpoint, ClassLatency classLatency, double tookMs) {
        double now = clock.now();
        endpoint.latency().record(tookMs / classLatency.meanMs(), now);
        classLatency.record(tookMs);
        adaptLimits(endpoint, classLatency, tookMs);
        if (endpoint.outlierDetector().mayHaveRestarted()) {
            endpoints.startSlowStart(endpoint, now); // the list may say so later
        }
        endpoint.outlierDetector().recordSuccess();
    }

    private void onTimeout(Endpoint endpoint, ClassLatency classLatency, double tookMs) {
        endpoint.latency().record(Math.max(1, tookMs / classLatency.meanMs()), clock.now());
        classLatency.recordAtLeast(tookMs);
        adaptLimits(endpoint, classLatency, tookMs);
        onFailure(endpoint, ORDINARY_FAILURE);
    }

    /** Attempts that took longer were counted by the send rate when they became late. */
    private void adaptLimits(Endpoint endpoint, ClassLatency classLatency, double tookMs) {
        double objectiveMs = classLatency.requestClass().latencyObjective();
        if (tookMs <= objectiveMs * SendRateLimiter.LATE_PART_OF_OBJECTIVE) {
            limiter.onTimelyResponse();
        }
        endpoint.concurrencyLimit().record(tookMs, objectiveMs, endpoint.inFlight());
    }

    /** Ejects the endpoint on enough evidence, as long as the fleet can spare it. */
    private void onFailure(Endpoint endpoint, double weight) {
        double now = clock.now();
        if (endpoint.outlierDetector().recordFailure(weight, now) && endpoints.canSpareOneMore()) {
            endpoint.outlierDetector().eject(now);
        }
    }
}
