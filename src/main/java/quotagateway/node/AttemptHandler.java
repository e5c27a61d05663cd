package quotagateway.node;

import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.lifecycle.SendDenial;
import quotagateway.policy.api.CallOutcome;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;
import quotagateway.transport.EventLoopContext;
import quotagateway.upstream.Attempt;
import quotagateway.upstream.EndpointPool;

/**
 * Sends the attempts of requests to endpoints as far as the guard allows, and reports their ends to the policy. All
 * methods are called on the event loop.
 */
final class AttemptHandler {
    /** Responses report no actual units; the policy counts the requested ones. */
    private static final int NO_ACTUAL_UNITS = 0;

    private final EventLoopContext loop;
    private final LifecycleGuard guard;
    private final NodeTelemetry telemetry;
    private final PolicyInvoker policy;
    private final EndpointPool endpoints;
    private final RequestTable requests;

    AttemptHandler(
            EventLoopContext loop,
            LifecycleGuard guard,
            NodeTelemetry telemetry,
            PolicyInvoker policy,
            EndpointPool endpoints,
            RequestTable requests) {
        this.loop = loop;
        this.guard = guard;
        this.telemetry = telemetry;
        this.policy = policy;
        this.endpoints = endpoints;
        this.requests = requests;
    }

    // ---- actions of the policy ----

    /**
     * Sends an attempt. An attempt that the guard denies ends as not sent, after the current event.
     *
     * @param timeoutAtMs when the attempt times out (ms of the loop's clock), 0 if it has no timeout of its own
     */
    void send(ActiveRequest request, String endpoint, double timeoutAtMs) {
        int number = request.attempts().size();
        Attempt attempt = new Attempt(request, number, endpoint, loop.now(), endpoints.descriptor(endpoint));
        request.onAttemptStarted(attempt);
        if (denies(request, attempt)) {
            attempt.end();
            loop.execute(() -> onEnded(request, attempt, CallOutcome.NOT_SENT, null, EndpointPool.NO_LOAD));
            return;
        }
        CallOutcome previous =
                number == 0 ? null : request.attempts().get(number - 1).outcome();
        telemetry.onAttemptSent(request.command(), attempt, previous);
        if (timeoutAtMs > 0 && timeoutAtMs < request.deadline().dueAtMs()) {
            loop.schedule(timeoutAtMs - attempt.sentAt(), () -> endpoints.abandon(attempt, CallOutcome.TIMEOUT));
        }
        endpoints.send(attempt);
    }

    /** Cancels an attempt, after the current event. */
    void cancelAfterEvent(Attempt attempt) {
        loop.execute(() -> endpoints.abandon(attempt, CallOutcome.CANCELLED));
    }

    /** Cancels all attempts that the request has at the end of the current event. */
    void cancelAllAfterEvent(ActiveRequest request) {
        loop.execute(() -> {
            for (Attempt attempt : request.attempts()) {
                endpoints.abandon(attempt, CallOutcome.CANCELLED);
            }
        });
    }

    // ---- events of the endpoint's connection ----

    /** Whether the guard denies an attempt now; each denial is counted. */
    boolean denies(ActiveRequest request, Attempt attempt) {
        Optional<SendDenial> denial = guard.denialOf(request, attempt, loop.now());
        if (denial.isEmpty()) {
            return false;
        }
        telemetry.onAttemptDenied(request.command(), attempt, denial.get());
        return true;
    }

    /** Whether another attempt may follow this one, though an endpoint may have executed it. */
    boolean mayRepeat(ActiveRequest request, Attempt attempt) {
        return guard.mayRepeat(request.command().requestClass(), attempt.number() + 1) && !request.isBodyConsumed();
    }

    /** The last byte of an attempt has been written. */
    void onWritten(ActiveRequest request) {
        telemetry.onAttemptWritten();
        guard.onAttemptWritten(request.clientId(), request.msSinceCompletion(loop.now()));
    }

    /**
     * An attempt has ended.
     *
     * @param value the value of the response if the attempt succeeded, else null; the caller releases it
     * @param load the load report of the response
     */
    void onEnded(ActiveRequest request, Attempt attempt, CallOutcome outcome, RedisMessage value, double[] load) {
        request.onAttemptFinished();
        double now = loop.now();
        if (outcome != CallOutcome.OK) {
            request.discardConsumedBody();
        } else if (!request.isCompleted()) {
            requests.respond(request, ReferenceCountUtil.retain(value), RequestOutcome.FULFILLED, null);
        }
        attempt.recordOutcome(outcome);
        telemetry.onAttemptEnded(request.command(), attempt, outcome, request.msAtEndpoint(attempt, now));
        if (!reportEndToPolicy(request, attempt, now, load)) {
            requests.failWithoutDecision(request);
        }
        requests.releaseIfFinished(request);
    }

    /**
     * An endpoint has begun to send a large value, which ends the attempt: the time that the client takes to read the
     * value says nothing about the endpoint. Returns the response that forwards the value, or null if the request is
     * completed.
     *
     * @param length of the value (bytes)
     */
    StreamedResponse onStreamStarted(ActiveRequest request, Attempt attempt, int length, ResponseSource source) {
        request.onAttemptFinished();
        double now = loop.now();
        attempt.recordOutcome(CallOutcome.OK);
        telemetry.onAttemptEnded(request.command(), attempt, CallOutcome.OK, request.msAtEndpoint(attempt, now));
        StreamedResponse stream = request.isCompleted() ? null : requests.respondWithStream(request, length, source);
        // The response is kept even if the policy fails.
        reportEndToPolicy(request, attempt, now, EndpointPool.NO_LOAD);
        requests.releaseIfFinished(request);
        return stream;
    }

    /** Returns false if the policy threw an exception. */
    private boolean reportEndToPolicy(ActiveRequest request, Attempt attempt, double now, double[] load) {
        return policy.deliver(p -> p.onAttemptEnded(
                now,
                request.id(),
                attempt.number(),
                attempt.outcome(),
                request.msAtEndpoint(attempt, now),
                request.isCompleted(),
                NO_ACTUAL_UNITS,
                load));
    }
}
