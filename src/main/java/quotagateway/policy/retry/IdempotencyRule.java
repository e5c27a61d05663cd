package quotagateway.policy.retry;

import java.util.OptionalDouble;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.policy.endpoint.Attempt;
import quotagateway.policy.endpoint.Endpoint;

/**
 * Decides what a request's idempotency allows once the request may have been executed: whether and where it may be
 * retried, and whether its client may be told that it was not executed.
 */
public final class IdempotencyRule {
    private final double marginMs;

    /** @param marginMs time by which idempotency windows are shortened, to cover the time until an attempt is sent */
    public IdempotencyRule(double marginMs) {
        this.marginMs = marginMs;
    }

    /** Whether another attempt may be sent now, regardless of its endpoint. */
    public boolean mayRetry(AttemptHistory attempts, double now) {
        OptionalDouble firstExecution = attempts.firstPossibleExecutionAt();
        if (firstExecution.isEmpty()) {
            return true;
        }
        RequestClass requestClass = attempts.requestClass();
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENCY_KEY -> now - firstExecution.getAsDouble() < requestClass.idempotencyWindow() - marginMs;
            case NON_IDEMPOTENT -> false;
        };
    }

    /** Whether the endpoint recognises the key of a request that endpoints of earlier attempts may have executed. */
    public boolean isInScope(AttemptHistory attempts, Endpoint endpoint) {
        if (attempts.isEmpty() || !attempts.requestClass().retriesStayInScope()) {
            return true;
        }
        RetryScope scope = attempts.requestClass().retryScope();
        for (Attempt attempt : attempts.attempts()) {
            if (attempt.mayHaveRun()
                    && !sharesIdempotencyKeys(scope, attempt.endpoint().descriptor(), endpoint.descriptor())) {
                return false;
            }
        }
        return true;
    }

    private static boolean sharesIdempotencyKeys(RetryScope scope, EndpointDescriptor one, EndpointDescriptor other) {
        return scope == RetryScope.ZONE ? one.zone().equals(other.zone()) : one.cell() == other.cell();
    }

    /**
     * Whether the client may be told to retry: not if its request may have been executed and a second execution would
     * do harm, or the retry could reach an endpoint that does not recognise its key.
     */
    public boolean mayReject(AttemptHistory attempts) {
        RequestClass requestClass = attempts.requestClass();
        boolean harmless =
                requestClass.idempotency() != Idempotency.NON_IDEMPOTENT && !requestClass.retriesStayInScope();
        return harmless || !attempts.mayHaveRun();
    }
}
