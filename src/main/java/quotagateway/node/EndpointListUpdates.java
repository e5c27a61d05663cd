package quotagateway.node;

import java.util.List;
import quotagateway.discovery.DiscoveryListener;
import quotagateway.log.NodeEvent;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.transport.EventLoopContext;
import quotagateway.upstream.EndpointPool;

/**
 * Passes on what discovery reports: to the pool first, so that attempts which wait there no longer go to an endpoint
 * that drains, then to the policy, which says in turn which endpoints the pool is to use.
 */
final class EndpointListUpdates implements DiscoveryListener {
    private final EventLoopContext loop;
    private final EndpointPool endpoints;
    private final PolicyInvoker policy;
    private final NodeTelemetry telemetry;

    EndpointListUpdates(EventLoopContext loop, EndpointPool endpoints, PolicyInvoker policy, NodeTelemetry telemetry) {
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
        policy.tell(p -> p.onEndpoints(loop.now(), list, complete));
        if (!list.isEmpty()) {
            endpoints.onPolicyNotified();
        }
    }

    @Override
    public void onEndpointListStarted() {
        endpoints.onEndpointListStarted();
        policy.tell(p -> p.onEndpointListStarted(loop.now()));
    }

    @Override
    public void onEndpointListCompleted() {
        endpoints.onEndpointListCompleted();
        policy.tell(p -> p.onEndpointListCompleted(loop.now()));
        endpoints.onPolicyNotified();
    }

    @Override
    public void onDiscoveryFailed() {
        policy.tell(p -> p.onDiscoveryFailed(loop.now()));
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
