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

    EndpointPool.EndpointConnection connection;

    public Attempt(UpstreamRequest request, int number, String server, double sent, EndpointDescriptor place) {
        this.descriptor = place;
        this.request = request;
        this.number = number;
        this.endpoint = server;
        this.sentAt = sent;
    }
}
