package quotagateway.policy.admission;

import java.util.HashMap;
import java.util.Map;
import quotagateway.policy.api.Capabilities;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.retry.IdempotencyRule;
import quotagateway.policy.traffic.TrafficMeter;

/**
 * The open requests, by the host's request id. Each request is ended once: it is completed, leaves its queue, and its
 * attempt in flight is cancelled; the request is removed from this table when that attempt has ended.
 */
public final class OpenRequests {
    private final Capabilities capabilities;
    private final IdempotencyRule idempotency;
    private final TrafficMeter traffic;
    private final PolicyActions actions;
    private final Map<Long, PendingRequest> requests = new HashMap<>();

    public OpenRequests(
            Capabilities capabilities, IdempotencyRule idempotency, TrafficMeter traffic, PolicyActions actions) {
        this.capabilities = capabilities;
        this.idempotency = idempotency;
        this.traffic = traffic;
        this.actions = actions;
    }

    void add(PendingRequest request) {
        requests.put(request.id(), request);
    }

    /** Returns the request with this id, or null. */
    PendingRequest get(long id) {
        return requests.get(id);
    }

    /** Sends the final response of a request that no endpoint can serve: a rejection if allowed, or an error. */
    void rejectOrFail(PendingRequest request, FailureReason reason) {
        if (idempotency.mayReject(request.attempts())) {
            traffic.onRejection();
            // a shortage lasts for a while: a client that retries sooner costs calls and finds no more capacity
            double retryAfterMs = capabilities.retryAfter() ? capabilities.maxRetryAfter() : 0;
            actions.reject(request.id(), retryAfterMs, reason);
        } else {
            actions.fail(request.id(), reason);
        }
        end(request);
    }

    /** Ends a request that needs no further response, for any reason. */
    void end(PendingRequest request) {
        if (!request.isCompleted() && !request.isStreaming() && capabilities.cancellation() && request.isInFlight()) {
            actions.cancelAttempt(request.id(), request.attempts().size() - 1);
        }
        request.complete();
        request.customer().queue().remove(request);
        if (!request.isInFlight()) {
            requests.remove(request.id());
        }
    }
}
