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
 * The attempts of requests at endpoints: sends them as far as the guard allows, and tells the policy how they end.
 * All of it runs on the event loop.
 */
final class AttemptHandler {
    /** No units are reported with a response: the policy goes by those that were asked for. */
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

    // ---- from the policy ----

    /**
     * Sends an attempt. One that the guard denies ends as not sent, like any other behind the event that decided it.
     *
     * @param timeoutAtMs when the attempt times out, 0 for no time of its own
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

    /** Cancels an attempt, behind the event that decided it. */
    void cancelSoon(Attempt attempt) {
        loop.execute(() -> endpoints.abandon(attempt, CallOutcome.CANCELLED));
    }

    /** Cancels all attempts that the request will have by the end of this event. */
    void cancelAllSoon(ActiveRequest request) {
        loop.execute(() -> {
            for (Attempt attempt : request.attempts()) {
                endpoints.abandon(attempt, CallOutcome.CANCELLED);
            }
        });
    }

    // ---- from the endpoint's connection ----

    /** Whether the guard denies an attempt now; each denial is counted. */
    boolean denies(ActiveRequest request, Attempt attempt) {
        Optional<SendDenial> denial = guard.denialOf(request, attempt, loop.now());
        if (denial.isEmpty()) {
            return false;
        }
        telemetry.onAttemptDenied(request.command(), attempt, denial.get());
        return true;
    }

    /** The last byte of an attempt is written. */
    void onWritten(ActiveRequest request) {
        telemetry.onAttemptWritten();
        guard.onAttemptWritten(request.clientId(), request.completedForMs(loop.now()));
    }

    /**
     * An attempt has ended.
     *
     * @param value the response's value where it was successful, else null; the caller releases it
     * @param load the load report that came with it
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
        telemetry.onAttemptEnded(request.command(), attempt, outcome, now - attempt.sentAt());
        if (!tellPolicyOfEnd(request, attempt, now, load)) {
            requests.failUndecided(request);
        }
        requests.settle(request);
    }

    /**
     * A large value has begun to come, which ends the attempt: how long its client takes to read it says nothing of
     * the endpoint. Returns the response that passes it on, or null where nobody waits for it.
     *
     * @param length of the value (bytes)
     */
    StreamedResponse onStreamStarted(ActiveRequest request, Attempt attempt, int length, ResponseSource source) {
        request.onAttemptFinished();
        double now = loop.now();
        attempt.recordOutcome(CallOutcome.OK);
        telemetry.onAttemptEnded(request.command(), attempt, CallOutcome.OK, now - attempt.sentAt());
        StreamedResponse stream = request.isCompleted() ? null : requests.respondByStream(request, length, source);
        tellPolicyOfEnd(request, attempt, now, EndpointPool.NO_LOAD); // the response stands, whatever becomes of it
        requests.settle(request);
        return stream;
    }

    /** False where the policy has failed on it. */
    private boolean tellPolicyOfEnd(ActiveRequest request, Attempt attempt, double now, double[] load) {
        return policy.tell(p -> p.onAttemptEnded(
                now,
                request.id(),
                attempt.number(),
                attempt.outcome(),
                now - attempt.sentAt(),
                request.isCompleted(),
                NO_ACTUAL_UNITS,
                load));
    }
}
