package quotagateway.node;

import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.collection.LongObjectHashMap;
import java.util.HashSet;
import java.util.Set;
import java.util.function.DoubleSupplier;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.lifecycle.StreamEnd;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.FailureReason;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;
import quotagateway.transport.EventLoopContext;
import quotagateway.upstream.Attempt;
import quotagateway.upstream.EndpointPool;

/**
 * The requests of a node. Each request gets one final response, or none if its client has disconnected, and is
 * completed by that. It stays in the table until its last attempt has ended too, as only then its memory is released
 * and its id may be used again. All methods are called on the event loop.
 */
final class RequestTable {
    /** Subtracted from a client's timeout (ms), as the response takes time to reach the client. */
    private static final double RESPONSE_MARGIN_MS = 10;
    /**
     * The policy learns at a request's deadline that its attempts have timed out. If it has not responded this long
     * (ms) after the deadline, the request fails, still within the margin.
     */
    private static final double POLICY_GRACE_MS = 8;

    private static final double NO_SHUTDOWN = Double.MAX_VALUE;

    private final EventLoopContext loop;
    private final LifecycleGuard guard;
    private final NodeTelemetry telemetry;
    private final PolicyInvoker policy;
    private final EndpointPool endpoints;
    private final StreamFactory streamFactory;
    private final LongObjectHashMap<ActiveRequest> requestsById = new LongObjectHashMap<>();
    private final Set<String> clientIds = new HashSet<>();
    private final ExecutedRequestIds executedIds = new ExecutedRequestIds();
    private final Set<StreamedResponse> openStreams = new HashSet<>();
    private long lastId;
    /**
     * Requests that are owed a response or the rest of a streamed one; completed requests in the table do not count.
     */
    private int openCount;

    private double responsesDueAtMs = NO_SHUTDOWN;

    RequestTable(
            EventLoopContext loop,
            LifecycleGuard guard,
            NodeTelemetry telemetry,
            PolicyInvoker policy,
            EndpointPool endpoints,
            StreamFactory streamFactory) {
        this.loop = loop;
        this.guard = guard;
        this.telemetry = telemetry;
        this.policy = policy;
        this.endpoints = endpoints;
        this.streamFactory = streamFactory;
    }

    // ---- contents ----

    /** Returns the number for the next request. */
    long nextId() {
        return ++lastId;
    }

    /** Adds a request; from now on it is owed a response, by its deadline. */
    void add(ActiveRequest request) {
        requestsById.put(request.id(), request);
        clientIds.add(request.clientId());
        openCount++;
        request.attachToSlot();
        request.deadline().start(() -> onDeadlinePassed(request));
    }

    /** Returns the request with this number, or null if it has been released. */
    ActiveRequest find(long id) {
        return requestsById.get(id);
    }

    /** Whether a request with this client id has not been released yet. */
    boolean hasClientId(String clientId) {
        return clientIds.contains(clientId);
    }

    /** Whether a request with this client id has ended that may have been executed and must not be executed twice. */
    boolean mayHaveExecuted(String clientId) {
        return executedIds.contains(clientId);
    }

    /** Returns the number of requests that are owed a response, or the rest of a streamed one. */
    int openCount() {
        return openCount;
    }

    // ---- deadlines ----

    /**
     * Returns the deadline of a new request.
     *
     * @param lastByteAtMs when its last byte arrived, at the earliest (ms of the loop's clock)
     * @param clientTimeoutMs how long from then (ms) the client waits
     */
    ResponseDeadline newDeadline(DoubleSupplier lastByteAtMs, double clientTimeoutMs) {
        return new ResponseDeadline(
                loop, lastByteAtMs, clientTimeoutMs, RESPONSE_MARGIN_MS, responsesDueAtMs - RESPONSE_MARGIN_MS);
    }

    /** Whether the node shuts down and the time by which all responses were due has passed. */
    boolean isPastShutdownDeadline(double now) {
        return now >= responsesDueAtMs;
    }

    /** The node shuts down: every request gets its response by this time (ms of the loop's clock). */
    void bringDeadlinesForwardTo(double dueAtMs) {
        responsesDueAtMs = dueAtMs;
        for (ActiveRequest request : requestsById.values()) {
            if (!request.isCompleted()) {
                request.deadline().bringForwardTo(dueAtMs - RESPONSE_MARGIN_MS);
            }
        }
        for (StreamedResponse stream : openStreams.toArray(new StreamedResponse[0])) {
            stream.bringBeginForwardTo(dueAtMs - RESPONSE_MARGIN_MS);
        }
    }

    /**
     * Ends attempts in flight as timed out, on which the policy may give a response; if it does not, the request fails.
     */
    private void onDeadlinePassed(ActiveRequest request) {
        if (!request.isCompleted()) { // first, so that there is a response even if ending the attempts fails
            request.deadline().extend(POLICY_GRACE_MS, () -> failWithoutDecision(request));
        }
        for (Attempt attempt : request.attempts().toArray(new Attempt[0])) {
            endpoints.abandon(attempt, CallOutcome.TIMEOUT);
        }
    }

    // ---- responses ----

    /** Rejects a request that is not completed; the response has a time (ms) to retry after if that is over 0. */
    void reject(ActiveRequest request, double retryAfterMs, FailureReason reason) {
        String text = retryAfterMs > 0 ? "BUSY " + Math.round(retryAfterMs) : "BUSY";
        respond(request, new ErrorRedisMessage(text), RequestOutcome.THROTTLED, reason);
        releaseIfFinished(request);
    }

    /** Fails a request that is not completed. */
    void fail(ActiveRequest request, FailureReason reason) {
        respond(request, new ErrorRedisMessage("ERR failed"), RequestOutcome.FAULTED, reason);
        releaseIfFinished(request);
    }

    /**
     * Fails a request on which the policy has not decided in time or has thrown an exception; no-op on a completed
     * request.
     */
    void failWithoutDecision(ActiveRequest request) {
        failAndNotifyPolicy(request, FailureReason.NO_DECISION);
    }

    /** Fails a request whose connection cannot be read any further; no-op on a completed request. */
    void onConnectionMalformed(ActiveRequest request) {
        failAndNotifyPolicy(request, FailureReason.CONNECTION_MALFORMED);
    }

    /**
     * Fails a request, and reports to the policy that its client has disconnected, as the policy has nothing more to
     * decide on it.
     */
    private void failAndNotifyPolicy(ActiveRequest request, FailureReason reason) {
        if (!request.isCompleted()) {
            fail(request, reason);
            policy.deliver(p -> p.onClientDisconnected(loop.now(), request.id()));
        }
    }

    /**
     * Gives a request its final response, which completes it; the caller calls {@link #releaseIfFinished}. All
     * responses except streamed ones are given, and their outcomes counted, here.
     *
     * @param message the response; the client's connection releases it
     * @param reason why the request was not fulfilled, null if it was or the reason is unknown
     */
    void respond(ActiveRequest request, RedisMessage message, RequestOutcome outcome, FailureReason reason) {
        double lateMs = request.deadline().msSinceClientTimeout(loop.now());
        if (!guard.mayRespond(request.clientId(), request.isCompleted(), lateMs)) {
            ReferenceCountUtil.release(message);
            return;
        }
        telemetry.onRequestCompleted(request.command(), outcome, reason);
        complete(request);
        request.slot().respond(message);
    }

    /**
     * Gives a request a streamed response, which completes it; it counts as open until the stream has ended.
     *
     * @param length of the value (bytes)
     */
    StreamedResponse respondWithStream(ActiveRequest request, int length, ResponseSource source) {
        complete(request);
        openCount++;
        StreamedResponse stream = streamFactory.create(
                request,
                length,
                source,
                responsesDueAtMs - RESPONSE_MARGIN_MS,
                (ended, end) -> onStreamEnded(request, ended, end));
        openStreams.add(stream);
        request.slot().respondWith(stream);
        return stream;
    }

    private void onStreamEnded(ActiveRequest request, StreamedResponse stream, StreamEnd end) {
        openCount--;
        openStreams.remove(stream);
        telemetry.onStreamEnded(request.command(), stream, end);
    }

    /**
     * The client of a request has disconnected; no-op on a completed request. Attempts that are not written yet are
     * cancelled, as they would begin after the client's disconnect.
     */
    void onClientDisconnected(ActiveRequest request) {
        if (request.isCompleted()) {
            return;
        }
        telemetry.onRequestAbandoned(request.command());
        complete(request);
        policy.deliver(p -> p.onClientDisconnected(loop.now(), request.id()));
        for (Attempt attempt : request.attempts()) {
            loop.execute(() -> endpoints.cancelUnwritten(attempt));
        }
        releaseIfFinished(request);
    }

    private void complete(ActiveRequest request) {
        request.complete(loop.now());
        openCount--;
    }

    /** Releases a request if it is completed and none of its attempts is in flight; otherwise a no-op. */
    void releaseIfFinished(ActiveRequest request) {
        if (request.isFinished() && requestsById.remove(request.id()) != null) {
            request.release();
            clientIds.remove(request.clientId());
            if (guard.isExecutedOnce(request.command().requestClass()) && request.mayHaveBeenExecuted()) {
                executedIds.add(request.clientId());
            }
        }
    }
}
