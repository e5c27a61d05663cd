package quotagateway.node;

import quotagateway.lifecycle.CloseReason;
import quotagateway.policy.api.CallOutcome;
import quotagateway.transport.EventLoopContext;
import quotagateway.upstream.EndpointPoolListener;

/** Passes on what the pool reports that concerns no request: health checks to the policy, closes to the operators. */
final class EndpointEvents implements EndpointPoolListener {
    private final EventLoopContext loop;
    private final PolicyInvoker policy;
    private final NodeTelemetry telemetry;

    EndpointEvents(EventLoopContext loop, PolicyInvoker policy, NodeTelemetry telemetry) {
        this.loop = loop;
        this.policy = policy;
        this.telemetry = telemetry;
    }

    @Override
    public void onHealthCheck(String endpoint, CallOutcome outcome, double tookMs, double[] load) {
        policy.tell(p -> p.onHealthCheck(loop.now(), endpoint, outcome, tookMs, load));
    }

    @Override
    public void onEndpointConnectionClosed(String endpoint, CloseReason reason) {
        telemetry.onEndpointConnectionClosed(endpoint, reason);
    }
}
