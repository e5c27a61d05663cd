package quotagateway.node;

import java.util.concurrent.CompletableFuture;
import quotagateway.config.GatewayConfig;
import quotagateway.counter.CounterClient;
import quotagateway.discovery.DiscoveryClient;
import quotagateway.startup.Readiness;
import quotagateway.startup.StartupTimeline;
import quotagateway.transport.DirectMemory;
import quotagateway.upstream.EndpointPool;

/**
 * The clients of the services that a node connects to: discovery, the endpoints that discovery lists, and the counter
 * that all gateways share.
 *
 * @param discoveryListener receives the endpoint lists of discovery
 */
record BackendClients(
        DiscoveryClient discovery,
        EndpointListDispatcher discoveryListener,
        EndpointPool endpoints,
        CounterClient counter) {

    static BackendClients create(
            NodeEventLoop loop,
            GatewayConfig config,
            DescriptorBudget descriptors,
            DirectMemory memory,
            PolicyInvoker policy,
            NodeTelemetry telemetry) {
        EndpointPool endpoints = new EndpointPool(
                loop,
                new EndpointEventForwarder(loop, policy, telemetry),
                loop.group(),
                config,
                descriptors.endpointConnections(),
                memory::hasRoomForResponse);
        EndpointListDispatcher discoveryListener = new EndpointListDispatcher(loop, endpoints, policy, telemetry);
        DiscoveryClient discovery = new DiscoveryClient(loop, discoveryListener, loop.group(), config);
        CounterClient counter = new CounterClient(
                loop,
                (name, outcome, tookMs, total) ->
                        policy.deliver(p -> p.onCounterReply(loop.now(), name, outcome, tookMs, total)),
                loop.group(),
                config.counterAddress(),
                config.settings().capabilities().counterTimeout(),
                config.seed());
        return new BackendClients(discovery, discoveryListener, endpoints, counter);
    }

    /**
     * Connects to all three; called on the event loop, once the policy has been created. A cached list that cannot be
     * used does not prevent the start, as discovery sends another one.
     */
    void start(NodeEventLoop loop, GatewayConfig config) {
        discovery.ready().thenRun(() -> StartupTimeline.phaseEnded("discovery"));
        endpoints.ready().thenRun(() -> StartupTimeline.phaseEnded("endpoints"));
        counter.ready().thenRun(() -> StartupTimeline.phaseEnded("counter"));
        loop.runGuarded(() -> discovery.start(config.cachedEndpoints()));
        counter.start();
        endpoints.start();
    }

    /**
     * Returns a future that completes once all three are ready or the wait for them has ended. The start has taken
     * {@code elapsedMs} so far.
     */
    CompletableFuture<Void> ready(NodeEventLoop loop, GatewayConfig config, double elapsedMs) {
        return Readiness.of(
                loop,
                elapsedMs,
                config.cachedEndpoints() != null,
                discovery.ready(),
                endpoints.ready(),
                counter.ready());
    }

    /** Logs which of the three the node starts without, if any. */
    void logMissing() {
        boolean hasList = discovery.ready().isDone();
        boolean hasEndpoints = endpoints.ready().isDone();
        boolean hasCounter = counter.ready().isDone();
        if (!(hasList && hasEndpoints && hasCounter)) {
            System.err.println("starting before all backends are ready: discovery " + hasList + ", endpoints "
                    + hasEndpoints + ", counter " + hasCounter);
        }
    }

    /** Switches to the addresses of a new configuration, if they differ. */
    void reconnect(GatewayConfig config) {
        discovery.reconnectTo(config.discoveryAddress());
        counter.reconnectTo(config.counterAddress());
    }
}
