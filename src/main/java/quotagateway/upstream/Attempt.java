package quotagateway.upstream;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;

/**
 * One call to an endpoint: an attempt of a request, or a health check. It waits for a connection, is written on it and
 * ends once, with the endpoint's reply, by a timeout or a cancellation, or with its connection.
 */
public final class Attempt {
    private final UpstreamRequest request;
    private final int number;
    private final String endpoint;
    private final double sentAt;
    private final EndpointDescriptor descriptor;
    private EndpointConnection connection;
    private boolean written;
    private boolean ended;
    private CallOutcome outcome;

    /**
     * An attempt of a request.
     *
     * @param number how many attempts of the request there were before
     * @param endpoint id of the endpoint that it goes to
     * @param sentAt when it was decided (ms of the loop's clock)
     * @param descriptor the endpoint as it was listed then, or null where the pool did not have it
     */
    public Attempt(UpstreamRequest request, int number, String endpoint, double sentAt, EndpointDescriptor descriptor) {
        this.request = request;
        this.number = number;
        this.endpoint = endpoint;
        this.sentAt = sentAt;
        this.descriptor = descriptor;
    }

    /** A health check of an endpoint. */
    static Attempt healthCheck(String endpoint, double sentAt) {
        return new Attempt(null, 0, endpoint, sentAt, null);
    }

    boolean isHealthCheck() {
        return request == null;
    }

    /** The request that it belongs to; null for a health check. */
    UpstreamRequest request() {
        return request;
    }

    /** Whether a large body follows its command. */
    boolean hasLargeBody() {
        return request != null && request.body() != null;
    }

    /** How many attempts of its request there were before. */
    public int number() {
        return number;
    }

    /** The id of the endpoint that it goes to. */
    public String endpoint() {
        return endpoint;
    }

    /** When it was decided (ms of the loop's clock). */
    public double sentAt() {
        return sentAt;
    }

    /** The endpoint as it was listed when the attempt was decided, or null where the pool did not have it. */
    public EndpointDescriptor descriptor() {
        return descriptor;
    }

    // ---- its progress, told by the connection that it is written on ----

    void onSend(EndpointConnection writer) {
        connection = writer;
    }

    /** The connection that it is written on; null while it waits for one. */
    EndpointConnection connection() {
        return connection;
    }

    void onWritten() {
        written = true;
    }

    /** Whether its last byte has been written: only then can the endpoint have begun with it. */
    boolean isWritten() {
        return written;
    }

    // ---- its end ----

    /** Ends it: nothing that comes for it later counts any more. */
    public void end() {
        ended = true;
    }

    public boolean isEnded() {
        return ended;
    }

    /** Notes how it has ended, for the decision on the attempt after it. */
    public void recordOutcome(CallOutcome result) {
        outcome = result;
    }

    /** How it has ended; null until its request has heard of that. */
    public CallOutcome outcome() {
        return outcome;
    }
}
