package quotagateway.policy.endpoint;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.health.ClassLatency;

/**
 * One attempt to have a request served by one endpoint. {@link Endpoint#startAttempt} creates it and {@link #end} ends
 * it.
 */
public final class Attempt {
    private final Endpoint endpoint;
    private final ClassLatency classLatency;
    private final double sentAt;
    private CallOutcome outcome;

    Attempt(Endpoint endpoint, ClassLatency classLatency, double sentAt) {
        this.endpoint = endpoint;
        this.classLatency = classLatency;
        this.sentAt = sentAt;
    }

    public Endpoint endpoint() {
        return endpoint;
    }

    public double sentAt() {
        return sentAt;
    }

    public boolean isInFlight() {
        return outcome == null;
    }

    /** Returns whether the endpoint may have executed the request or may still execute it. */
    public boolean mayHaveRun() {
        return outcome == null || !outcome.provesNotExecuted;
    }

    /** Ends the attempt with its outcome. Called exactly once. */
    public void end(CallOutcome finalOutcome) {
        outcome = finalOutcome;
        endpoint.onAttemptEnded(this);
    }

    /** Returns the latency statistics of the request's class. */
    ClassLatency classLatency() {
        return classLatency;
    }
}
