package quotagateway.policy.retry;

import java.util.Optional;
import quotagateway.policy.api.FailureReason;

/**
 * Decides whether a request gets another attempt after its earlier attempts have ended without a response. The total
 * rate of retries is bounded by the send rate limiter, which serves as the retry budget too.
 */
public final class RetryPolicy {
    private final IdempotencyRule idempotency;
    private final int maxAttempts;
    private final double marginMs;

    /**
     * @param maxAttempts maximum number of attempts of one request
     * @param marginMs time before a deadline (ms) in which no attempt may begin
     */
    public RetryPolicy(IdempotencyRule idempotency, int maxAttempts, double marginMs) {
        this.idempotency = idempotency;
        this.maxAttempts = maxAttempts;
        this.marginMs = marginMs;
    }

    /**
     * Returns why no further attempt is allowed, or empty if one is allowed.
     *
     * @param objectiveDeadline until when (ms) a response earns its full worth
     * @param deadline when (ms) the client stops waiting
     */
    public Optional<FailureReason> denialReason(
            AttemptHistory attempts, double objectiveDeadline, double deadline, double now) {
        if (now >= objectiveDeadline || now >= deadline - marginMs) {
            return Optional.of(FailureReason.NO_TIME_TO_REPEAT);
        }
        if (!idempotency.mayRetry(attempts, now)) {
            return Optional.of(FailureReason.NOT_REPEATABLE);
        }
        return attempts.size() >= maxAttempts ? Optional.of(FailureReason.ATTEMPTS_USED) : Optional.empty();
    }
}
