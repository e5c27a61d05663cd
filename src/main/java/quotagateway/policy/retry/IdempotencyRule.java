package quotagateway.policy.retry;

import java.util.OptionalDouble;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.policy.endpoint.Attempt;
import quotagateway.policy.endpoint.Endpoint;

/**
 * What a request's idempotency allows once it may have been executed: whether and where it may be sent again, and
 * whether its client may be told that it was not executed. The protocol page's rules.
 */
public final class IdempotencyRule {
    private final double marginMs;

    /** @param marginMs windows are taken to end so much earlier, for the time until the attempt is on its way */
    public IdempotencyRule(double marginMs) {
        this.marginMs = marginMs;
    }

    /** Whether another attempt may be sent now, leaving open where. */
    public boolean mayRetry(AttemptHistory attempts, double now) {
        OptionalDouble firstRun = attempts.firstPossibleRunAt();
        if (firstRun.isEmpty()) {
            return true;
        }
        RequestClass requestClass = attempts.requestClass();
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENCY_KEY -> now - firstRun.getAsDouble() < requestClass.idempotencyWindow() - marginMs;
            case NON_IDEMPOTENT -> false;
        };
    }

    /** Whether the endpoint recognises the key of a request that those before may have executed. */
    public boolean isInScope(AttemptHistory attempts, Endpoint endpoint) {
        if (attempts.isEmpty() || !attempts.requestClass().retriesStayInScope()) {
            return true;
        }
        RetryScope scope = attempts.requestClass().retryScope();
        for (Attempt attempt : attempts.attempts()) {
            if (attempt.mayHaveRun() && !sharesKeys(scope, attempt.endpoint().descriptor(), endpoint.descriptor())) {
                return false;
            }
        }
        return true;
    }

    private static boolean sharesKeys(RetryScope scope, EndpointDescriptor one, EndpointDescriptor other) {
        return scope == RetryScope.ZONE ? one.zone().equals(other.zone()) : one.cell() == other.cell();
    }

    /**
     * Whether the client may be told to come again: not where its request may have been executed and a second one would
     * do harm, or would reach an endpoint that does not know its key.
     */
    public boolean mayReject(AttemptHistory attempts) {
        RequestClass requestClass = attempts.requestClass();
        boolean harmless =
                requestClass.idempotency() != Idempotency.NON_IDEMPOTENT && !requestClass.retriesStayInScope();
        return harmless || !attempts.mayHaveRun();
    }
}
