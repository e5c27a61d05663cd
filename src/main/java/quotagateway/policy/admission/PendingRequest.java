package quotagateway.policy.admission;

import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.health.ClassLatency;
import quotagateway.policy.quota.QuotaRequest;
import quotagateway.policy.retry.AttemptHistory;

/** An open request: it waits, has an attempt in flight, or has its response while its attempt has not ended yet. */
final class PendingRequest implements QuotaRequest {
    /** With less than this many mean latencies left, a response is late too often to justify an attempt. */
    private static final double MIN_MEAN_LATENCIES_LEFT = 2;
    /** Rejected unsent after more than this fraction of its timeout, a request leaves its client no time to retry. */
    private static final double MAX_WAIT_FRACTION = 0.5;

    private final IncomingRequest incoming;
    private final Customer customer;
    private final ClassLatency classLatency;
    private final AttemptHistory attempts;
    /** When the client stops waiting, if nothing of the request is still to arrive. */
    private final double earliestDeadline;

    private final double objectiveDeadline;
    private final double marginMs;
    private final long sequenceNumber;
    private boolean completed;
    private boolean streaming;

    /**
     * Creates a request that arrives now.
     *
     * @param objectiveMs how long from now (ms) a response earns its full worth
     * @param marginMs time before the deadline (ms) in which no attempt may begin
     * @param sequenceNumber the order of arrival, by which requests with equal objective deadlines are ordered
     */
    PendingRequest(
            IncomingRequest incoming,
            Customer customer,
            ClassLatency classLatency,
            double now,
            double objectiveMs,
            double marginMs,
            long sequenceNumber) {
        this.incoming = incoming;
        this.customer = customer;
        this.classLatency = classLatency;
        this.marginMs = marginMs;
        this.sequenceNumber = sequenceNumber;
        attempts = new AttemptHistory(classLatency.requestClass());
        earliestDeadline = now + incoming.clientTimeout();
        objectiveDeadline = Math.min(now + objectiveMs, earliestDeadline);
    }

    long id() {
        return incoming.id();
    }

    Customer customer() {
        return customer;
    }

    ClassLatency classLatency() {
        return classLatency;
    }

    RequestClass requestClass() {
        return classLatency.requestClass();
    }

    AttemptHistory attempts() {
        return attempts;
    }

    long sequenceNumber() {
        return sequenceNumber;
    }

    /** Whether more of the request was still to arrive when it was accepted, so that only the host knows its time. */
    boolean isArriving() {
        return incoming.arriving();
    }

    /** Returns the time (ms) at which the client stops waiting; unlimited if more of the request is still to arrive. */
    double deadline() {
        return isArriving() ? Double.POSITIVE_INFINITY : earliestDeadline;
    }

    /** Returns the time (ms) until which a response earns its full worth, at most the deadline. */
    double objectiveDeadline() {
        return objectiveDeadline;
    }

    @Override
    public int units() {
        return incoming.units();
    }

    @Override
    public double arrivedAt() {
        return earliestDeadline - incoming.clientTimeout();
    }

    @Override
    public double latestStart() {
        return Math.min(
                objectiveDeadline - MIN_MEAN_LATENCIES_LEFT * classLatency.meanMs(),
                earliestDeadline - (1 - MAX_WAIT_FRACTION) * incoming.clientTimeout() - marginMs);
    }

    @Override
    public boolean isClientRetry() {
        return incoming.retry();
    }

    /** Whether an attempt is in flight; a request never has two attempts in flight. */
    boolean isInFlight() {
        return !attempts.isEmpty() && attempts.last().isInFlight();
    }

    /** Whether the client has its final response or needs none any more. */
    boolean isCompleted() {
        return completed;
    }

    void complete() {
        completed = true;
    }

    /** Whether a response is being streamed to the client, so that no other response is possible. */
    boolean isStreaming() {
        return streaming;
    }

    void startStreaming() {
        streaming = true;
    }
}
