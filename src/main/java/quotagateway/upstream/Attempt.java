package quotagateway.upstream;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;

/** What is out on a connection: an attempt of a request, or a probe. */
public class Attempt {
    public final UpstreamRequest request;
    public final int number;
    public final String endpoint;
    public final double sentAt;
    /** Where it goes, as the list had it then; null where the pool does not use that server. */
    public final EndpointDescriptor descriptor;

    public boolean ended;
    /** Set when it has ended. */
    public CallOutcome outcome;

    private EndpointConnection connection;
    private boolean written;

    public Attempt(UpstreamRequest request, int number, String server, double sent, EndpointDescriptor place) {
        this.descriptor = place;
        this.request = request;
        this.number = number;
        this.endpoint = server;
        this.sentAt = sent;
    }

    /** Whether a large body follows its command. */
    boolean hasLargeBody() {
        return request != null && request.body() != null;
    }

    /** A connection writes it. */
    void onSend(EndpointConnection writer) {
        connection = writer;
    }

    /** The connection that it is written on; null while it waits for one. */
    EndpointConnection connection() {
        return connection;
    }

    /** Its last byte has been written. */
    void onWritten() {
        written = true;
    }

    boolean isWritten() {
        return written;
    }
}
