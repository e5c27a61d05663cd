package quotagateway.node;

import java.io.IOException;
import java.net.SocketAddress;
import quotagateway.admin.AdminServer;
import quotagateway.admin.MemoryMetrics;
import quotagateway.admin.Metrics;
import quotagateway.client.ClientListener;
import quotagateway.config.GatewayConfig;
import quotagateway.discovery.DiscoveryListener;
import quotagateway.log.EventLog;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicyFactory;
import quotagateway.transport.DirectMemory;

/**
 * A gateway node: accepts clients' requests, lets the policy decide on them, and sends them to endpoints. This class
 * creates the components of the node, starts and stops them. All components and the policy run on one event loop; the
 * methods of this class are called from other threads.
 */
public final class GatewayNode {
    private final GatewayConfig config;
    private final PolicyFactory policyFactory;
    private final NodeEventLoop loop;
    private final NodeStateMachine state;
    private final BackendClients backends;
    private final PolicyActions policyActions;
    private final CordonStore cordons;
    private final AdminServer admin;
    private final GracefulShutdown shutdown;
    private final NodeStartup startup;
    private volatile SocketAddress adminAddress;

    /** Creates a node, which is inactive until {@link #start}. */
    public GatewayNode(GatewayConfig config, PolicyFactory policyFactory) {
        this.config = config;
        this.policyFactory = policyFactory;
        EventLog eventLog = new EventLog(System.err);
        loop = new NodeEventLoop(eventLog);
        Metrics metrics = new Metrics(config.settings().requestClasses());
        NodeTelemetry telemetry = new NodeTelemetry(loop, eventLog, metrics);
        state = new NodeStateMachine(telemetry::onStateEntered);
        LifecycleGuard guard = new LifecycleGuard(config.settings(), state, telemetry::onInvariantViolated);
        DescriptorBudget descriptors = DescriptorBudget.of(config);
        DirectMemory directMemory = DirectMemory.ofProcess(config.maxMemoryBytes());
        PolicyInvoker policy = new PolicyInvoker(loop);
        backends = BackendClients.create(loop, config, descriptors, directMemory, policy, telemetry);
        MemoryBudget memory = new MemoryBudget(loop, directMemory);
        RequestTable requests = new RequestTable(
                loop, guard, telemetry, policy, backends.endpoints(), new StreamFactory(loop, config, directMemory));
        AttemptHandler attemptHandler =
                new AttemptHandler(loop, guard, telemetry, policy, backends.endpoints(), requests);
        policyActions = new PolicyActionExecutor(loop, policy, requests, attemptHandler, backends);
        ClientRequestAcceptor acceptor = new ClientRequestAcceptor(
                loop, config.settings(), guard, telemetry, policy, memory, requests, attemptHandler);
        ClientListener clients =
                new ClientListener(loop, acceptor, descriptors.clientConnections(), config.keepAliveMs());
        memory.onAvailable(clients::resumeReading);
        memory.onShortage(clients::closeLongestBlocked);
        backends.endpoints().onExhausted(clients::closeLongestBlocked);

        cordons = new CordonStore(loop, policy, telemetry::record, config.stateDirectory(), config.name());
        admin = new AdminServer(
                loop,
                new NodeAdminOperations(state, metrics, new MemoryMetrics(directMemory), requests, policy, cordons));
        ProcessHandover handover = new ProcessHandover(config.stateDirectory(), config.name());
        shutdown = new GracefulShutdown(
                loop, config.settings(), handover, directMemory, clients, requests, guard, state, telemetry);
        HandoverLimits handoverLimits = new HandoverLimits(descriptors, directMemory, clients);
        startup = new NodeStartup(
                config, loop, handoverLimits, policy, backends, clients, cordons, handover, state, shutdown.ended());
    }

    /** As {@link #start(double)}, if the process has done nothing before. */
    void start() throws IOException {
        start(0);
    }

    /**
     * Starts the node; returns when it listens or has been told to shut down meanwhile. The admin endpoint is available
     * earlier, and reports that no clients are accepted yet.
     *
     * @param elapsedMs time that the process has spent on its start before this call
     * @throws IOException if an address cannot be bound or the policy cannot be created
     */
    public void start(double elapsedMs) throws IOException {
        if (config.adminAddress() != null) {
            adminAddress = admin.bind(loop.group(), config.adminAddress());
        }
        startup.run(policyFactory, policyActions, elapsedMs);
    }

    /**
     * Handles SIGHUP: switches to the addresses of a new configuration. A configuration that cannot be read changes
     * nothing.
     */
    public void reload(ConfigReader reader) {
        loop.execute(() -> {
            try {
                backends.reconnect(reader.read());
            } catch (IOException e) {
                loop.logFailure("configuration", e);
            }
        });
    }

    /** Handles SIGTERM: responds to all accepted requests and then ends; returns when that is done. */
    public void drain() {
        shutdown.begin();
        shutdown.ended().join();
        loop.shutdown();
        cordons.close();
    }

    /** The address on which clients are accepted; null before the node listens. */
    public SocketAddress listenAddress() {
        return startup.listenAddress();
    }

    /** The address of the admin endpoint; null before it is available, or if the configuration has none. */
    public SocketAddress adminAddress() {
        return adminAddress;
    }

    // ---- for tests, which act in place of the policy, discovery and timers ----

    NodeEventLoop eventLoop() {
        return loop;
    }

    NodeStateMachine state() {
        return state;
    }

    PolicyActions policyActions() {
        return policyActions;
    }

    DiscoveryListener discoveryListener() {
        return backends.discoveryListener();
    }
}
