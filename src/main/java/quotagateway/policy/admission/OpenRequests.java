package quotagateway.policy.admission;

import java.util.HashMap;
import java.util.Map;
import quotagateway.policy.api.Capabilities;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.retry.IdempotencyRule;
import quotagateway.policy.traffic.TrafficMeter;

/**
 * The requests that are not done with, by the host's number. Ends each of them once: it is completed, leaves its queue,
 * and its attempt in flight is cancelled; it is forgotten when that attempt has ended.
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

    /** The request of this number, or null. */
    PendingRequest get(long id) {
        return requests.get(id);
    }

    /** Gives the final response of a request that no endpoint can give any more. */
    void refuse(PendingRequest request, FailureReason reason) {
        if (idempotency.mayReject(request.attempts())) {
            traffic.onRejection();
            // what was short stays so for a while: a client that comes back sooner costs calls and finds no more
            double retryAfterMs = capabilities.retryAfter() ? capabilities.maxRetryAfter() : 0;
            actions.reject(request.id(), retryAfterMs, reason);
        } else {
            actions.fail(request.id(), reason);
        }
        end(request);
    }

    /** The request needs no response any more, whatever the reason. */
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
