package quotagateway.node;

import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.collection.LongObjectHashMap;
import java.util.HashSet;
import java.util.Set;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.FailureReason;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;
import quotagateway.transport.EventLoopContext;
import quotagateway.upstream.Attempt;
import quotagateway.upstream.EndpointPool;

/**
 * The requests of a node. Each that is added gets one final response, or none where its client has disconnected;
 * that completes it. It stays here until its last attempt has ended too, as only then its memory is given back and
 * its id may come again. All of it runs on the event loop.
 */
final class RequestTable {
    /** Taken off a client's wait (ms): a response at the end of it has its way back still to go. */
    private static final double RESPONSE_MARGIN_MS = 10;
    /**
     * The policy learns at a request's deadline that its attempts have timed out. Where it has not answered so long
     * (ms) after that, the request fails: still within the margin.
     */
    private static final double POLICY_GRACE_MS = 8;

    private static final double NO_SHUTDOWN = Double.MAX_VALUE;

    private final EventLoopContext loop;
    private final LifecycleGuard guard;
    private final NodeTelemetry telemetry;
    private final PolicyInvoker policy;
    private final EndpointPool endpoints;
    private final MemoryBudget memory;
    private final LongObjectHashMap<ActiveRequest> requestsById = new LongObjectHashMap<>();
    private final Set<String> clientIds = new HashSet<>();
    private long lastId;
    /** Requests that are owed a response or the rest of one: fewer than are in the table. */
    private int openCount;

    private double responsesDueAtMs = NO_SHUTDOWN;

    RequestTable(
            EventLoopContext loop,
            LifecycleGuard guard,
            NodeTelemetry telemetry,
            PolicyInvoker policy,
            EndpointPool endpoints,
            MemoryBudget memory) {
        this.loop = loop;
        this.guard = guard;
        this.telemetry = telemetry;
        this.policy = policy;
        this.endpoints = endpoints;
        this.memory = memory;
    }

    // ---- what is in it ----

    /** A number for the next request. */
    long nextId() {
        return ++lastId;
    }

    /** Takes a request in; from here on it is owed a response, by its deadline. */
    void add(ActiveRequest request) {
        requestsById.put(request.id(), request);
        clientIds.add(request.clientId());
        memory.reserve(request.bufferedBytes());
        openCount++;
        request.attachToSlot();
        request.deadline().start(() -> onDeadlinePassed(request));
    }

    /** The request of this number, or null where it has been released. */
    ActiveRequest find(long id) {
        return requestsById.get(id);
    }

    /** Whether a request with this id of its client's has not been released yet. */
    boolean hasClientId(String clientId) {
        return clientIds.contains(clientId);
    }

    /** How many requests are owed a response, or the rest of one that is streamed. */
    int openCount() {
        return openCount;
    }

    // ---- deadlines ----

    /** Within what time (ms) from now a response is due to a client that waits for so long (ms); 1 at the least. */
    double responseTimeMs(double now, double clientWaitMs) {
        return Math.max(1, Math.min(clientWaitMs, responsesDueAtMs - now) - RESPONSE_MARGIN_MS);
    }

    /** Whether the time has passed by which all responses were due in a shutdown. */
    boolean isPastShutdown(double now) {
        return now >= responsesDueAtMs;
    }

    /** The node shuts down: every request has its response by this time (ms of the loop's clock). */
    void bringDeadlinesForwardTo(double dueAtMs) {
        responsesDueAtMs = dueAtMs;
        for (ActiveRequest request : requestsById.values()) {
            if (!request.isCompleted()) {
                request.deadline().bringForwardTo(dueAtMs - RESPONSE_MARGIN_MS);
            }
        }
    }

    /** Attempts that are still in flight have timed out, and the policy may respond to that; or else we do. */
    private void onDeadlinePassed(ActiveRequest request) {
        if (!request.isCompleted()) { // first: whatever the ends of the attempts lead to, there is a response
            request.deadline().extend(POLICY_GRACE_MS, () -> failUndecided(request));
        }
        for (Attempt attempt : request.attempts().toArray(new Attempt[0])) {
            endpoints.abandon(attempt, CallOutcome.TIMEOUT);
        }
    }

    // ---- responses ----

    /** Rejects a request that is not completed, with a time (ms) after which to retry where that is over 0. */
    void reject(ActiveRequest request, double retryAfterMs, FailureReason reason) {
        String text = retryAfterMs > 0 ? "BUSY " + Math.round(retryAfterMs) : "BUSY";
        respond(request, new ErrorRedisMessage(text), RequestOutcome.THROTTLED, reason);
        settle(request);
    }

    /** Fails a request that is not completed. */
    void fail(ActiveRequest request, FailureReason reason) {
        respond(request, new ErrorRedisMessage("ERR failed"), RequestOutcome.FAULTED, reason);
        settle(request);
    }

    /** Fails a request on which the policy has not decided in time, or has thrown; no-op on a completed one. */
    void failUndecided(ActiveRequest request) {
        failAgainstPolicy(request, FailureReason.NO_DECISION);
    }

    /** Fails a request whose connection cannot be read any further; no-op on a completed one. */
    void onConnectionMalformed(ActiveRequest request) {
        failAgainstPolicy(request, FailureReason.CONNECTION_MALFORMED);
    }

    /** To the policy the request has ended as if its client had disconnected: it has nothing more to decide. */
    private void failAgainstPolicy(ActiveRequest request, FailureReason reason) {
        if (!request.isCompleted()) {
            fail(request, reason);
            policy.tell(p -> p.onClientDisconnected(loop.now(), request.id()));
        }
    }

    /**
     * Gives a request its final response, which completes it; the caller settles it. The one place where responses
     * are given and outcomes counted, but for streamed ones.
     *
     * @param message the response, which is the client's connection's to release from here on
     * @param reason why it was not fulfilled, null where it was or where nothing is known
     */
    void respond(ActiveRequest request, RedisMessage message, RequestOutcome outcome, FailureReason reason) {
        double lateMs = request.deadline().clientTimedOutForMs(loop.now());
        if (!guard.mayRespond(request.clientId(), request.isCompleted(), lateMs)) {
            ReferenceCountUtil.release(message);
            return;
        }
        telemetry.onRequestCompleted(request.command(), outcome, reason);
        complete(request);
        request.slot().respond(message);
    }

    /**
     * Gives a request a response that comes bit by bit, which completes it; it stays open until the stream has ended.
     *
     * @param length of the value (bytes)
     */
    StreamedResponse respondByStream(ActiveRequest request, int length, ResponseSource source) {
        complete(request);
        openCount++;
        StreamedResponse stream =
                new StreamedResponse(loop, source, request.slot(), length, outcome -> onStreamEnded(request, outcome));
        request.slot().respondWith(stream);
        return stream;
    }

    private void onStreamEnded(ActiveRequest request, RequestOutcome outcome) {
        openCount--;
        telemetry.onStreamEnded(request.command(), outcome);
    }

    /**
     * The client of a request has disconnected; no-op on a completed one. An attempt that is not written yet would
     * begin behind the client's end, and is cancelled.
     */
    void onClientDisconnected(ActiveRequest request) {
        if (request.isCompleted()) {
            return;
        }
        telemetry.onRequestAbandoned(request.command());
        complete(request);
        policy.tell(p -> p.onClientDisconnected(loop.now(), request.id()));
        for (Attempt attempt : request.attempts()) {
            loop.execute(() -> endpoints.cancelUnwritten(attempt));
        }
        settle(request);
    }

    private void complete(ActiveRequest request) {
        request.complete(loop.now());
        openCount--;
    }

    /** Releases a request once it is completed and none of its attempts is in flight; else a no-op. */
    void settle(ActiveRequest request) {
        if (request.isSettled() && requestsById.remove(request.id()) != null) {
            request.release();
            clientIds.remove(request.clientId());
            memory.release(request.bufferedBytes());
        }
    }
}
