package quotagateway.node;

import java.util.concurrent.CompletableFuture;
import quotagateway.config.GatewayConfig;
import quotagateway.counter.CounterClient;
import quotagateway.discovery.DiscoveryClient;
import quotagateway.startup.Readiness;
import quotagateway.startup.StartupTimeline;
import quotagateway.upstream.EndpointPool;

/**
 * What a node connects to: discovery, the endpoints that discovery lists, and the counter that all gateways share.
 *
 * @param listUpdates whom discovery reports to
 */
record BackendClients(
        DiscoveryClient discovery, EndpointListUpdates listUpdates, EndpointPool endpoints, CounterClient counter) {

    static BackendClients create(
            NodeEventLoop loop,
            GatewayConfig config,
            DescriptorBudget descriptors,
            PolicyInvoker policy,
            NodeTelemetry telemetry) {
        EndpointPool endpoints = new EndpointPool(
                loop,
                new EndpointEvents(loop, policy, telemetry),
                loop.group(),
                config,
                descriptors.endpointConnections());
        EndpointListUpdates listUpdates = new EndpointListUpdates(loop, endpoints, policy, telemetry);
        DiscoveryClient discovery = new DiscoveryClient(loop, listUpdates, loop.group(), config);
        CounterClient counter = new CounterClient(
                loop,
                (name, outcome, tookMs, total) ->
                        policy.tell(p -> p.onCounterReply(loop.now(), name, outcome, tookMs, total)),
                loop.group(),
                config.counterAddress(),
                config.settings().capabilities().counterTimeout(),
                config.seed());
        return new BackendClients(discovery, listUpdates, endpoints, counter);
    }

    /**
     * Connects; called on the event loop, once there is a policy. A cached list that cannot be used is no reason not to
     * start: discovery has another.
     */
    void start(NodeEventLoop loop, GatewayConfig config) {
        discovery.ready().thenRun(() -> StartupTimeline.phaseEnded("discovery"));
        endpoints.ready().thenRun(() -> StartupTimeline.phaseEnded("endpoints"));
        counter.ready().thenRun(() -> StartupTimeline.phaseEnded("counter"));
        loop.runGuarded(() -> discovery.start(config.cachedEndpoints()));
        counter.start();
        endpoints.start();
    }

    /** Done once all three are ready or have been waited for; the start has taken so long (ms) already. */
    CompletableFuture<Void> ready(NodeEventLoop loop, GatewayConfig config, double spentMs) {
        return Readiness.of(
                loop, spentMs, config.cachedEndpoints() != null, discovery.ready(), endpoints.ready(), counter.ready());
    }

    /** Logs which of the three the node starts without, where there is one. */
    void logMissing() {
        boolean hasList = discovery.ready().isDone();
        boolean hasEndpoints = endpoints.ready().isDone();
        boolean hasCounter = counter.ready().isDone();
        if (!(hasList && hasEndpoints && hasCounter)) {
            System.err.println("ready with what there is: discovery " + hasList + ", servers " + hasEndpoints
                    + ", counter " + hasCounter);
        }
    }

    /** Goes over to the addresses of a new configuration, where they differ. */
    void reconnect(GatewayConfig config) {
        discovery.reconnectTo(config.discoveryAddress());
        counter.reconnectTo(config.counterAddress());
    }
}
