package quotagateway.upstream;

import quotagateway.lifecycle.CloseReason;
import quotagateway.policy.api.CallOutcome;

/** Who is told what belongs to no request of a client. */
public interface EndpointPoolListener {
    /** A health check has ended, after so long (ms), with the load report that came. */
    void onHealthCheck(String endpoint, CallOutcome outcome, double tookMs, double[] load);

    /** A connection to an endpoint has ended. */
    void onEndpointConnectionClosed(String endpoint, CloseReason reason);
}
