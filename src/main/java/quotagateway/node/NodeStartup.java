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
 * Starts a node: creates the policy, connects to discovery, the endpoints and the counter, and listens only once these
 * are ready or the wait for them has ended, as load balancers send clients to any process that listens. SIGTERM may
 * arrive at any time during the start.
 */
final class NodeStartup {
    /**
     * The start waits this much longer (ms) than the longest wait on the event loop, as the loop may be blocked by its
     * own work.
     */
    private static final long MAX_LOOP_DELAY_MS = 1000;
    /** A process that this one replaces has ended this long (ms) after its earliest SIGKILL. */
    private static final double PREDECESSOR_EXIT_MARGIN_MS = 1000;

    private final GatewayConfig config;
    private final NodeEventLoop loop;
    private final HandoverLimits handoverLimits;
    private final PolicyInvoker policy;
    private final BackendClients backends;
    private final ClientListener clients;
    private final CordonStore cordons;
    private final ProcessHandover handover;
    private final NodeStateMachine state;
    private final CompletableFuture<Void> ended;
    private volatile SocketAddress listenAddress;

    /** @param ended completes if the node has been told to shut down, and has ended */
    NodeStartup(
            GatewayConfig config,
            NodeEventLoop loop,
            HandoverLimits handoverLimits,
            PolicyInvoker policy,
            BackendClients backends,
            ClientListener clients,
            CordonStore cordons,
            ProcessHandover handover,
            NodeStateMachine state,
            CompletableFuture<Void> ended) {
        this.config = config;
        this.loop = loop;
        this.handoverLimits = handoverLimits;
        this.policy = policy;
        this.backends = backends;
        this.clients = clients;
        this.cordons = cordons;
        this.handover = handover;
        this.state = state;
        this.ended = ended;
    }

    /**
     * Runs the complete start on the thread of the caller; returns when the node listens or has been told to shut down.
     *
     * @param elapsedMs time that the process has spent on its start before this call; see {@link Readiness}
     * @throws IOException if the policy cannot be created or the address cannot be bound
     */
    void run(PolicyFactory factory, PolicyActions actions, double elapsedMs) throws IOException {
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
            startComponents(cordoned);
            backends.ready(loop, config, elapsedMs).thenRun(() -> ready.complete(null));
        });
        awaitReady(ready);
        backends.logMissing();
        listen();
    }

    /** Applies the stored cordons first, as no attempt may go to a cordoned endpoint. */
    private void startComponents(Set<String> cordoned) {
        cordons.start(cordoned);
        backends.start(loop, config);
        clients.start();
        StartupTimeline.phaseEnded("loop and policy");
    }

    private static void awaitReady(CompletableFuture<Void> ready) throws IOException {
        try {
            ready.get((long) Readiness.MAX_WAIT_WITHOUT_LIST_MS + MAX_LOOP_DELAY_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            System.err.println("event loop was blocked during the start; not waiting for it any longer");
        } catch (ExecutionException e) {
            throw new IOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /** Listens, unless the node has been told to shut down. */
    private void listen() throws IOException {
        if (handover.hasPredecessor()) {
            handoverLimits.apply();
            loop.schedule(
                    ShutdownDeadline.earliestKillMs(config.settings()) + PREDECESSOR_EXIT_MARGIN_MS,
                    handoverLimits::lift);
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

    /** The address on which clients are accepted; null before the node listens. */
    SocketAddress listenAddress() {
        return listenAddress;
    }
}
