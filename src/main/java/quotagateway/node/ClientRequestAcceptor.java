package quotagateway.node;

import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import quotagateway.client.ClientCommand;
import quotagateway.client.ClientRequestHandler;
import quotagateway.client.MalformedCommandException;
import quotagateway.client.ResponseSlot;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.log.NodeEvent;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicySettings;
import quotagateway.resp.DiscardedValue;
import quotagateway.streaming.RequestBody;
import quotagateway.transport.EventLoopContext;

/** Creates requests from the commands that clients' connections have read, and passes them to the policy. */
final class ClientRequestAcceptor implements ClientRequestHandler {
    /** The longest timeout (ms) that a client may specify; a command with a longer one is malformed. */
    private static final double MAX_CLIENT_TIMEOUT_MS = 3_600_000;

    private final EventLoopContext loop;
    private final PolicySettings settings;
    private final LifecycleGuard guard;
    private final NodeTelemetry telemetry;
    private final PolicyInvoker policy;
    private final MemoryBudget memory;
    private final RequestTable requests;
    private final AttemptHandler attemptHandler;

    ClientRequestAcceptor(
            EventLoopContext loop,
            PolicySettings settings,
            LifecycleGuard guard,
            NodeTelemetry telemetry,
            PolicyInvoker policy,
            MemoryBudget memory,
            RequestTable requests,
            AttemptHandler attemptHandler) {
        this.loop = loop;
        this.settings = settings;
        this.guard = guard;
        this.telemetry = telemetry;
        this.policy = policy;
        this.memory = memory;
        this.requests = requests;
        this.attemptHandler = attemptHandler;
    }

    /**
     * {@inheritDoc}
     *
     * <p>The client's timeout starts when the last byte of its request arrives, not when that is read. Otherwise an
     * endpoint would be given more time than the client has left. A request of which a large value is still arriving
     * has no deadline yet, see {@link ResponseDeadline}.
     */
    @Override
    public String acceptCommand(ResponseSlot slot, ArrayRedisMessage message, RequestBody body, double receivedAtMs) {
        double now = loop.now();
        ClientCommand command;
        try {
            command = ClientCommand.parse(message, settings);
        } catch (MalformedCommandException e) {
            return e.getMessage();
        }
        double clientTimeoutMs = command.clientTimeoutMs();
        if (!(clientTimeoutMs > 0 && clientTimeoutMs <= MAX_CLIENT_TIMEOUT_MS)) {
            return "d is out of range";
        }
        guard.onRequestAccepted(command.id());
        String idError = idErrorOf(command);
        if (idError != null) {
            return idError;
        }
        if (requests.isPastShutdownDeadline(now)) { // the process may be killed at any time, and the request be lost
            reject(slot, command, body, FailureReason.SHUTDOWN);
            return null;
        }
        if (isValueDiscarded(message, body)) {
            reject(slot, command, body, FailureReason.MEMORY_SHORT);
            return null;
        }
        ResponseDeadline deadline =
                requests.newDeadline(body == null ? () -> receivedAtMs : body::lastByteAtMs, clientTimeoutMs);
        double responseTimeMs = deadline.dueAtMs() - now;
        boolean arriving = body != null && !body.isComplete();
        ActiveRequest request =
                new ActiveRequest(requests, attemptHandler, requests.nextId(), slot, message, command, body, deadline);
        requests.add(request);
        telemetry.onRequestAccepted(command, slot, responseTimeMs);
        if (!policy.deliver(
                p -> p.onRequest(now, toIncomingRequest(request.id(), command, responseTimeMs, arriving)))) {
            requests.failWithoutDecision(request);
        }
        return null;
    }

    /** Returns what is wrong with the id of a request, which another one has or has had; null for nothing. */
    private String idErrorOf(ClientCommand command) {
        if (requests.hasClientId(command.id())) {
            return "a request of this id is open"; // endpoints could not distinguish the two
        }
        return requests.mayHaveExecuted(command.id()) ? "a request of this id may have been executed" : null;
    }

    private static IncomingRequest toIncomingRequest(
            long id, ClientCommand command, double responseTimeMs, boolean arriving) {
        return new IncomingRequest(
                id,
                command.requestClass(),
                command.plan(),
                command.customer(),
                responseTimeMs,
                command.units(),
                command.gatewayCount(),
                command.firstGateway(),
                command.retry(),
                arriving);
    }

    private static boolean isValueDiscarded(ArrayRedisMessage message, RequestBody body) {
        if (body != null && body.isConsumed()) {
            return true;
        }
        for (RedisMessage argument : message.children()) {
            if (argument instanceof DiscardedValue) {
                return true;
            }
        }
        return false;
    }

    /** Rejects a request, of which nothing has been sent to an endpoint. */
    private void reject(ResponseSlot slot, ClientCommand command, RequestBody body, FailureReason reason) {
        if (body != null) {
            body.discard();
        }
        telemetry.onRequestCompleted(command, RequestOutcome.THROTTLED, reason);
        slot.respond(new ErrorRedisMessage("BUSY"));
    }

    @Override
    public void onRequestRefused() {
        telemetry.onRequestRefused();
    }

    @Override
    public boolean isMemoryExhausted() {
        return memory.isExhausted();
    }

    @Override
    public boolean hasRoomForRequest(int bytes) {
        return memory.hasRoomForRequest(bytes);
    }

    @Override
    public boolean mayListen() {
        return guard.mayListen();
    }

    @Override
    public boolean mayClose(CloseReason reason, int openRequests) {
        return guard.mayClose(reason, openRequests);
    }

    @Override
    public void onClientConnectionClosed(NodeEvent.ClientConnectionClosed closed) {
        telemetry.onClientConnectionClosed(closed);
    }
}
