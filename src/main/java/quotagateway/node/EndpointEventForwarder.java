package quotagateway.node;

import quotagateway.lifecycle.CloseReason;
import quotagateway.policy.api.CallOutcome;
import quotagateway.transport.EventLoopContext;
import quotagateway.upstream.EndpointPoolListener;

/**
 * Forwards events of the endpoint pool that concern no request: health checks to the policy, closed connections to the
 * telemetry.
 */
final class EndpointEventForwarder implements EndpointPoolListener {
    private final EventLoopContext loop;
    private final PolicyInvoker policy;
    private final NodeTelemetry telemetry;

    EndpointEventForwarder(EventLoopContext loop, PolicyInvoker policy, NodeTelemetry telemetry) {
        this.loop = loop;
        this.policy = policy;
        this.telemetry = telemetry;
    }

    @Override
    public void onHealthCheck(String endpoint, CallOutcome outcome, double tookMs, double[] load) {
        policy.deliver(p -> p.onHealthCheck(loop.now(), endpoint, outcome, tookMs, load));
    }

    @Override
    public void onEndpointConnectionClosed(String endpoint, CloseReason reason) {
        telemetry.onEndpointConnectionClosed(endpoint, reason);
    }
}
