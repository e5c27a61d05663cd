package quotagateway.policy.admission;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.endpoint.Attempt;
import quotagateway.policy.endpoint.Endpoint;
import quotagateway.policy.endpoint.EndpointRegistry;
import quotagateway.policy.routing.EndpointPicker;
import quotagateway.policy.routing.OutcomeRecorder;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;
import quotagateway.policy.traffic.SendRateLimiter;
import quotagateway.policy.traffic.TrafficMeter;

/** Sends attempts if the send rate and an endpoint allow it, and records how they end. */
public final class AttemptSender {
    private final EndpointRegistry endpoints;
    private final EndpointPicker picker;
    private final OutcomeRecorder outcomes;
    private final SendRateLimiter limiter;
    private final TrafficMeter traffic;
    private final EventClock clock;
    private final TimerQueue timers;
    private final PolicyActions actions;

    public AttemptSender(
            EndpointRegistry endpoints,
            EndpointPicker picker,
            OutcomeRecorder outcomes,
            SendRateLimiter limiter,
            TrafficMeter traffic,
            EventClock clock,
            TimerQueue timers,
            PolicyActions actions) {
        this.endpoints = endpoints;
        this.picker = picker;
        this.outcomes = outcomes;
        this.limiter = limiter;
        this.traffic = traffic;
        this.clock = clock;
        this.timers = timers;
        this.actions = actions;
    }

    /** Returns the endpoint for the next attempt of a request, or null if no attempt may be sent now. */
    Endpoint pick(PendingRequest request) {
        return limiter.hasPermit() ? picker.pick(request.attempts()) : null;
    }

    /** Sends an attempt of a request that has no attempt in flight. */
    void send(PendingRequest request, Endpoint endpoint) {
        endpoints.retainForAttempt(endpoint);
        request.attempts().add(endpoint.startAttempt(request.classLatency(), clock.now()));
        request.customer().queue().onAttemptSent();
        traffic.onSend(request.classLatency().meanMs());
        limiter.onSend();
        if (!request.isArriving()) { // otherwise it is the client that takes its time
            timers.schedule(clock.now() + lateThresholdMs(request), () -> checkIfLate(request));
        }
        actions.sendAttempt(request.id(), endpoint.id(), 0);
    }

    private static double lateThresholdMs(PendingRequest request) {
        return request.requestClass().latencyObjective() * SendRateLimiter.LATE_OBJECTIVE_FRACTION;
    }

    private void checkIfLate(PendingRequest request) {
        if (request.isInFlight() && request.attempts().last().sentAt() <= clock.now() - lateThresholdMs(request)) {
            limiter.onLateAttempt();
        }
    }

    /** Handles the end of an attempt; called once for each attempt. */
    void onEnded(PendingRequest request, Attempt attempt, CallOutcome outcome, double tookMs) {
        attempt.end(outcome);
        request.customer().queue().onAttemptEnded();
        endpoints.updateMembership(attempt.endpoint());
        outcomes.record(attempt.endpoint(), request.classLatency(), outcome, tookMs);
    }
}
