package quotagateway.policy.endpoint;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.health.ClassLatency;

/** One try to have a request served by one endpoint. Opened and ended by its {@link Endpoint}. */
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

    /** Whether the endpoint may have executed the request, or may be about to. */
    public boolean mayHaveRun() {
        return outcome == null || !outcome.provesNotExecuted;
    }

    /** The attempt has ended; called once. */
    public void end(CallOutcome how) {
        outcome = how;
        endpoint.onAttemptEnded(this);
    }

    /** The mean latency of the request's class. */
    ClassLatency classLatency() {
        return classLatency;
    }
}
