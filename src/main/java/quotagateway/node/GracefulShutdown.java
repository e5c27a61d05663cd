package quotagateway.node;

import java.util.concurrent.CompletableFuture;
import quotagateway.client.ClientListener;
import quotagateway.log.NodeEvent;
import quotagateway.policy.api.PolicySettings;
import quotagateway.transport.EventLoopContext;

/**
 * What a node does from SIGTERM on. It goes on accepting connections and requests for a while, as clients learn of
 * the shutdown only later; all requests have their responses before SIGKILL may come (see {@link ShutdownDeadline});
 * and it ends as soon as nothing is owed. Where another process has taken this one's place already, new connections
 * are that one's at once.
 */
final class GracefulShutdown {
    /** New connections keep coming for up to 0.4 s after SIGTERM: those that idle are closed behind that (ms). */
    private static final double CLOSE_IDLE_AFTER_MS = 450;
    /** Where no other process listens, this one does for so long (ms). */
    private static final double STOP_LISTENING_AFTER_MS = 600;
    /**
     * An end that slow readers hold up comes so long (ms) after all responses were due, at the latest. SIGKILL comes
     * long before as a rule; where it does not, the process must not stay for ever.
     */
    private static final double FORCED_END_AFTER_MS = 30_000;
    /** How often (ms) it is checked whether the node may end. */
    private static final double IDLE_CHECK_INTERVAL_MS = 5;
    /** A check that comes so late (ms) is logged: the event loop was held up. */
    private static final double LATE_CHECK_MS = 50;

    private final EventLoopContext loop;
    private final PolicySettings settings;
    private final ProcessHandover handover;
    private final ClientListener clients;
    private final RequestTable requests;
    private final LifecycleGuard guard;
    private final NodeStateMachine state;
    private final NodeTelemetry telemetry;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private double responsesDueAtMs;
    private double nextCheckDueAtMs;

    GracefulShutdown(
            EventLoopContext loop,
            PolicySettings settings,
            ProcessHandover handover,
            ClientListener clients,
            RequestTable requests,
            LifecycleGuard guard,
            NodeStateMachine state,
            NodeTelemetry telemetry) {
        this.loop = loop;
        this.settings = settings;
        this.handover = handover;
        this.clients = clients;
        this.requests = requests;
        this.guard = guard;
        this.state = state;
        this.telemetry = telemetry;
    }

    /** Done once nothing is owed any more, or the time for it has passed. */
    CompletableFuture<Void> ended() {
        return ended;
    }

    /** Begins to shut down; called once, in the moment of the signal, from beside the event loop. */
    void begin() {
        double dueAtMs = loop.now() + ShutdownDeadline.responsesDueInMs(settings);
        boolean replaced = handover.hasSuccessor();
        loop.execute(() -> {
            responsesDueAtMs = dueAtMs;
            telemetry.writeImmediately();
            state.startDraining(dueAtMs - loop.now());
            if (!clients.hasListened()) {
                end(); // SIGTERM during the start: no request was accepted, and none will be
            } else if (replaced) {
                drainBesideSuccessor();
            } else {
                drainAlone();
            }
        });
    }

    /** The other process accepts what comes from now on; connections that are open end behind their next response. */
    private void drainBesideSuccessor() {
        startDraining(CLOSE_IDLE_AFTER_MS);
        clients.stopListening();
        clients.closeAfterResponses();
    }

    /** Clients that come in the next moments have nowhere else to go. */
    private void drainAlone() {
        startDraining(STOP_LISTENING_AFTER_MS);
        loop.schedule(STOP_LISTENING_AFTER_MS, clients::stopListening);
    }

    /** The check comes first: a fault in what follows does not keep the process from ending. */
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
     * Ends the node when nothing is owed. When responses are due all have been given, and connections are closed
     * then; what a slow client has still to read of them is waited for, within bounds.
     */
    private void endIfIdle() {
        double lateMs = loop.now() - nextCheckDueAtMs;
        if (lateMs > LATE_CHECK_MS) {
            telemetry.record(new NodeEvent.EventLoopLate(lateMs));
        }
        boolean lastMoment = loop.now() >= responsesDueAtMs + FORCED_END_AFTER_MS;
        if (guard.mayEnd(clients.isIdle(), requests.openCount(), lastMoment)) {
            end();
            return;
        }
        scheduleIdleCheck(IDLE_CHECK_INTERVAL_MS);
        if (loop.now() >= responsesDueAtMs) {
            clients.closeAll();
        }
    }

    /** The listener is closed here, as an event loop that ends within its tasks does not close its channels. */
    private void end() {
        state.end();
        clients.close();
        telemetry.flush();
        ended.complete(null);
    }
}
