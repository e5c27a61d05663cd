package quotagateway.node;

import java.util.concurrent.CompletableFuture;
import quotagateway.client.ClientListener;
import quotagateway.log.NodeEvent;
import quotagateway.policy.api.PolicySettings;
import quotagateway.transport.DirectMemory;
import quotagateway.transport.EventLoopContext;

/**
 * The shutdown of a node, from SIGTERM on. The node keeps accepting connections and requests for a while, as clients
 * learn of the shutdown only later. All requests get their responses before SIGKILL may come (see {@link
 * ShutdownDeadline}), and the node ends as soon as no response is owed. If another process has already replaced this
 * one, new connections go to that process immediately.
 */
final class GracefulShutdown {
    /** Idle connections are closed this long (ms) after SIGTERM, as new ones arrive for up to 0.4 s after it. */
    private static final double CLOSE_IDLE_AFTER_MS = 450;
    /** How long (ms) this process keeps listening if no other process listens. */
    private static final double STOP_LISTENING_AFTER_MS = 600;
    /**
     * The longest time (ms) after all responses were due for which streamed responses can delay the end. SIGKILL
     * usually comes long before; if it does not, the process must not stay forever.
     */
    private static final double FORCED_END_AFTER_MS = 30_000;
    /** How often (ms) the node checks whether it may end. */
    private static final double IDLE_CHECK_INTERVAL_MS = 5;
    /** A check that runs later than planned by more than this (ms) is logged, as the event loop was blocked. */
    private static final double LATE_CHECK_THRESHOLD_MS = 50;

    private final EventLoopContext loop;
    private final PolicySettings settings;
    private final ProcessHandover handover;
    private final DirectMemory memory;
    private final ClientListener clients;
    private final RequestTable requests;
    private final LifecycleGuard guard;
    private final NodeStateMachine state;
    private final NodeTelemetry telemetry;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private double responsesDueAtMs;
    private double earliestKillAtMs;
    private double nextCheckDueAtMs;

    GracefulShutdown(
            EventLoopContext loop,
            PolicySettings settings,
            ProcessHandover handover,
            DirectMemory memory,
            ClientListener clients,
            RequestTable requests,
            LifecycleGuard guard,
            NodeStateMachine state,
            NodeTelemetry telemetry) {
        this.loop = loop;
        this.settings = settings;
        this.handover = handover;
        this.memory = memory;
        this.clients = clients;
        this.requests = requests;
        this.guard = guard;
        this.state = state;
        this.telemetry = telemetry;
    }

    /** Returns a future that completes once no response is owed, or the time limit for that has passed. */
    CompletableFuture<Void> ended() {
        return ended;
    }

    /** Begins the shutdown; called once, at the time of the signal and not on the event loop. */
    void begin() {
        double signalAtMs = loop.now();
        double dueAtMs = signalAtMs + ShutdownDeadline.responsesDueInMs(settings);
        boolean hasSuccessor = handover.hasSuccessor();
        loop.execute(() -> {
            responsesDueAtMs = dueAtMs;
            earliestKillAtMs = signalAtMs + ShutdownDeadline.earliestKillMs(settings);
            telemetry.writeImmediately();
            state.startDraining(dueAtMs - loop.now());
            if (!clients.hasListened()) {
                end(); // SIGTERM during the start: no request was accepted, and none will be
            } else if (hasSuccessor) {
                drainWithSuccessor();
            } else {
                drainWithoutSuccessor();
            }
        });
    }

    /** Leaves new connections to the other process; open connections are closed after their next response. */
    private void drainWithSuccessor() {
        memory.setProcessCount(ProcessHandover.PROCESSES_DURING_HANDOVER);
        startDraining(CLOSE_IDLE_AFTER_MS);
        clients.stopListening();
        clients.closeAfterResponses();
    }

    /** Keeps listening for a moment, as new clients have no other process to connect to. */
    private void drainWithoutSuccessor() {
        startDraining(STOP_LISTENING_AFTER_MS);
        loop.schedule(STOP_LISTENING_AFTER_MS, clients::stopListening);
    }

    /**
     * Schedules the idle check first, so that a fault in the steps after it does not prevent the process from ending.
     */
    private void startDraining(double firstCheckMs) {
        scheduleIdleCheck(firstCheckMs);
        requests.bringDeadlinesForwardTo(responsesDueAtMs);
        loop.schedule(CLOSE_IDLE_AFTER_MS, () -> {
            clients.closeAfterResponses();
            clients.closeIdle();
        });
    }

    private void scheduleIdleCheck(double delayMs) {
        nextCheckDueAtMs = loop.now() + delayMs;
        loop.schedule(delayMs, this::endIfIdle);
    }

    /**
     * Ends the node if no response is owed and all clients have closed their connections, which tells that they have
     * read their responses. From the earliest SIGKILL on only streamed responses that have not ended delay the end.
     */
    private void endIfIdle() {
        double lateMs = loop.now() - nextCheckDueAtMs;
        if (lateMs > LATE_CHECK_THRESHOLD_MS) {
            telemetry.record(new NodeEvent.EventLoopLate(lateMs));
        }
        boolean mayLeaveClients = clients.isIdle() || loop.now() >= earliestKillAtMs;
        boolean forced = loop.now() >= responsesDueAtMs + FORCED_END_AFTER_MS;
        if (guard.mayEnd(mayLeaveClients, requests.openCount(), forced)) {
            end();
            return;
        }
        scheduleIdleCheck(IDLE_CHECK_INTERVAL_MS);
        if (loop.now() >= responsesDueAtMs) {
            clients.closeAll();
        }
    }

    /**
     * Ends the node. The listener is closed here, as an event loop that is shut down while it runs its tasks does not
     * close its channels.
     */
    private void end() {
        state.end();
        clients.close();
        telemetry.flush();
        ended.complete(null);
    }
}
