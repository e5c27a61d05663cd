package quotagateway.policy.retry;

import java.util.Optional;
import quotagateway.policy.api.FailureReason;

/**
 * Whether a request gets another attempt after those before have ended without a response. What all retries together
 * may send is bounded by the send rate limiter, which is the retry budget too.
 */
public final class RetryPolicy {
    private final IdempotencyRule idempotency;
    private final int maxAttempts;
    private final double marginMs;

    /**
     * @param maxAttempts attempts of one request at the most
     * @param marginMs time before a deadline in which nothing is begun any more
     */
    public RetryPolicy(IdempotencyRule idempotency, int maxAttempts, double marginMs) {
        this.idempotency = idempotency;
        this.maxAttempts = maxAttempts;
        this.marginMs = marginMs;
    }

    /**
     * Why no further attempt may follow; empty where one may.
     *
     * @param usefulUntil when a response has lost its worth
     * @param deadline when the client has gone
     */
    public Optional<FailureReason> reasonAgainst(
            AttemptHistory attempts, double usefulUntil, double deadline, double now) {
        if (now >= usefulUntil || now >= deadline - marginMs) {
            return Optional.of(FailureReason.NO_TIME_TO_REPEAT);
        }
        if (!idempotency.mayRetry(attempts, now)) {
            return Optional.of(FailureReason.NOT_REPEATABLE);
        }
        return attempts.size() >= maxAttempts ? Optional.of(FailureReason.ATTEMPTS_USED) : Optional.empty();
    }
}
