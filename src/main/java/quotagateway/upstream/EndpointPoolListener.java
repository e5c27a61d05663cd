package quotagateway.upstream;

import quotagateway.lifecycle.CloseReason;
import quotagateway.policy.api.CallOutcome;

/** Hears of what happens at endpoints and belongs to no client's request. Called on the event loop. */
public interface EndpointPoolListener {
    /** A health check has ended, after so long (ms), with the load report that came, empty where none did. */
    void onHealthCheck(String endpoint, CallOutcome outcome, double tookMs, double[] load);

    /** A connection that had come up has ended, for this reason. */
    void onEndpointConnectionClosed(String endpoint, CloseReason reason);
}
