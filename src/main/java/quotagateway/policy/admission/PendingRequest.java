package quotagateway.policy.admission;

import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.health.ClassLatency;
import quotagateway.policy.quota.QuotaRequest;
import quotagateway.policy.retry.AttemptHistory;

/** A request that has come and is not done with: it waits, is in flight, or has its response while an attempt ends. */
final class PendingRequest implements QuotaRequest {
    /** With less than this many mean latencies left, a response is too often late to spend an endpoint on it. */
    private static final double MIN_LATENCIES_LEFT = 2;
    /** Rejected unsent past this part of its time-out, a request leaves its client no time to retry. */
    private static final double MAX_WAITING_PART = 0.5;

    private final IncomingRequest incoming;
    private final Customer customer;
    private final ClassLatency classLatency;
    private final AttemptHistory attempts;
    private final double deadline;
    private final double usefulUntil;
    private final double marginMs;
    private final long serial;
    private boolean completed;
    private boolean streaming;

    /**
     * Makes a request that has come now.
     *
     * @param usefulMs for how long a response is of use
     * @param marginMs time before the deadline in which nothing is begun any more
     * @param serial tells requests of one moment apart, in the order in which they came
     */
    PendingRequest(
            IncomingRequest incoming,
            Customer customer,
            ClassLatency classLatency,
            double now,
            double usefulMs,
            double marginMs,
            long serial) {
        this.incoming = incoming;
        this.customer = customer;
        this.classLatency = classLatency;
        this.marginMs = marginMs;
        this.serial = serial;
        attempts = new AttemptHistory(classLatency.requestClass());
        deadline = now + incoming.clientTimeout();
        usefulUntil = Math.min(now + usefulMs, deadline);
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

    long serial() {
        return serial;
    }

    /** When the client has gone. */
    double deadline() {
        return deadline;
    }

    /** When a response has lost its worth. */
    double usefulUntil() {
        return usefulUntil;
    }

    @Override
    public int units() {
        return incoming.units();
    }

    @Override
    public double arrivedAt() {
        return deadline - incoming.clientTimeout();
    }

    @Override
    public double latestStart() {
        return Math.min(
                usefulUntil - MIN_LATENCIES_LEFT * classLatency.meanMs(),
                deadline - (1 - MAX_WAITING_PART) * incoming.clientTimeout() - marginMs);
    }

    @Override
    public boolean isClientRetry() {
        return incoming.retry();
    }

    /** Whether an attempt is in flight; two never are. */
    boolean isInFlight() {
        return !attempts.isEmpty() && attempts.last().isInFlight();
    }

    /** Whether the client has its final response, or none is owed any more. */
    boolean isCompleted() {
        return completed;
    }

    void complete() {
        completed = true;
    }

    /** Whether a response has begun to go to the client, so that there can be no other. */
    boolean isStreaming() {
        return streaming;
    }

    void startStreaming() {
        streaming = true;
    }
}
