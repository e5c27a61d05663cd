package quotagateway.node;

import java.io.IOException;
import java.net.SocketAddress;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import quotagateway.client.ClientListener;
import quotagateway.config.GatewayConfig;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicyFactory;
import quotagateway.startup.Readiness;
import quotagateway.startup.StartupTimeline;

/**
 * How a node comes up: it makes the policy, connects to discovery, endpoints and the counter, and listens only once
 * these are ready or have been waited for, as load balancers send clients to whatever listens. SIGTERM may come at any
 * time meanwhile.
 */
final class NodeStartup {
    /** The event loop may be held up by its own work: it is waited for so long (ms) past the longest wait on it. */
    private static final long MAX_LOOP_DELAY_MS = 1000;
    /** A process that this one replaces has ended by so long (ms) after its earliest SIGKILL. */
    private static final double PREDECESSOR_ENDS_AFTER_KILL_MS = 1000;

    private final GatewayConfig config;
    private final NodeEventLoop loop;
    private final DescriptorBudget descriptors;
    private final PolicyInvoker policy;
    private final BackendClients backends;
    private final ClientListener clients;
    private final CordonStore cordons;
    private final ProcessHandover handover;
    private final NodeStateMachine state;
    private final CompletableFuture<Void> ended;
    private volatile SocketAddress listenAddress;

    /** @param ended done where the node has been told to end, and has ended */
    NodeStartup(
            GatewayConfig config,
            NodeEventLoop loop,
            DescriptorBudget descriptors,
            PolicyInvoker policy,
            BackendClients backends,
            ClientListener clients,
            CordonStore cordons,
            ProcessHandover handover,
            NodeStateMachine state,
            CompletableFuture<Void> ended) {
        this.config = config;
        this.loop = loop;
        this.descriptors = descriptors;
        this.policy = policy;
        this.backends = backends;
        this.clients = clients;
        this.cordons = cordons;
        this.handover = handover;
        this.state = state;
        this.ended = ended;
    }

    /**
     * Runs the whole start, on the thread of its caller; returns when the node listens or has been told to end.
     *
     * @param spentMs what the process has spent on its start before; see {@link Readiness}
     * @throws IOException where the policy cannot be made, or the address cannot be had
     */
    void run(PolicyFactory factory, PolicyActions actions, double spentMs) throws IOException {
        Set<String> cordoned = cordons.load();
        CompletableFuture<Void> ready = new CompletableFuture<>();
        ended.thenRun(() -> ready.complete(null));
        loop.execute(() -> {
            try {
                policy.create(factory, config, actions);
            } catch (RuntimeException e) {
                ready.completeExceptionally(e);
                return;
            }
            startParts(cordoned);
            backends.ready(loop, config, spentMs).thenRun(() -> ready.complete(null));
        });
        awaitReady(ready);
        backends.logMissing();
        listen();
    }

    /** The stored cordons come first: no attempt may go to a cordoned endpoint. */
    private void startParts(Set<String> cordoned) {
        policy.replaceCordons(cordoned);
        cordons.startPolling();
        backends.start(loop, config);
        clients.start();
        StartupTimeline.phaseEnded("loop and policy");
    }

    private static void awaitReady(CompletableFuture<Void> ready) throws IOException {
        try {
            ready.get((long) Readiness.MAX_WAIT_WITHOUT_LIST_MS + MAX_LOOP_DELAY_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            System.err.println("ready, with the loop held up");
        } catch (ExecutionException e) {
            throw new IOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /** Listens, unless the node has been told to end. */
    private void listen() throws IOException {
        if (handover.hasPredecessor()) {
            clients.limitConnections(descriptors.clientConnectionsBesidePredecessor());
            loop.schedule(
                    ShutdownDeadline.earliestKillMs(config.settings()) + PREDECESSOR_ENDS_AFTER_KILL_MS,
                    () -> clients.limitConnections(descriptors.clientConnections()));
        }
        try {
            SocketAddress bound = ended.isDone() ? null : clients.bind(loop.group(), config.listenAddress());
            if (bound == null) {
                return;
            }
            handover.claim();
            listenAddress = bound;
            loop.execute(state::startServing);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Where clients are accepted; null until then. */
    SocketAddress listenAddress() {
        return listenAddress;
    }
}
