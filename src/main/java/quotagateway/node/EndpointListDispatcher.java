package quotagateway.node;

import java.util.List;
import quotagateway.discovery.DiscoveryListener;
import quotagateway.log.NodeEvent;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.transport.EventLoopContext;
import quotagateway.upstream.EndpointPool;

/**
 * Forwards events of discovery to the pool first, so that attempts queued there no longer go to a draining endpoint,
 * and then to the policy, which in turn decides which endpoints the pool uses.
 */
final class EndpointListDispatcher implements DiscoveryListener {
    private final EventLoopContext loop;
    private final EndpointPool endpoints;
    private final PolicyInvoker policy;
    private final NodeTelemetry telemetry;

    EndpointListDispatcher(
            EventLoopContext loop, EndpointPool endpoints, PolicyInvoker policy, NodeTelemetry telemetry) {
        this.loop = loop;
        this.endpoints = endpoints;
        this.policy = policy;
        this.telemetry = telemetry;
    }

    @Override
    public void onEndpoints(List<EndpointDescriptor> list, boolean complete) {
        if (complete) {
            endpoints.onEndpointListStarted();
        }
        for (EndpointDescriptor endpoint : list) {
            if (endpoint.state() != EndpointState.UP) {
                telemetry.record(new NodeEvent.EndpointLeaving(endpoint.id(), endpoint.state()));
            }
        }
        endpoints.onEndpoints(list);
        if (complete) {
            endpoints.onEndpointListCompleted();
        }
        policy.deliver(p -> p.onEndpoints(loop.now(), list, complete));
        if (!list.isEmpty()) {
            endpoints.onPolicyNotified();
        }
    }

    @Override
    public void onEndpointListStarted() {
        endpoints.onEndpointListStarted();
        policy.deliver(p -> p.onEndpointListStarted(loop.now()));
    }

    @Override
    public void onEndpointListCompleted() {
        endpoints.onEndpointListCompleted();
        policy.deliver(p -> p.onEndpointListCompleted(loop.now()));
        endpoints.onPolicyNotified();
    }

    @Override
    public void onDiscoveryFailed() {
        policy.deliver(p -> p.onDiscoveryFailed(loop.now()));
    }

    @Override
    public void logNotice(String text) {
        System.err.println(text);
    }

    @Override
    public void logEvent(NodeEvent event) {
        telemetry.record(event);
    }
}
