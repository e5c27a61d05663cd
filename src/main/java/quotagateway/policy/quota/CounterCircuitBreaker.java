package quotagateway.policy.quota;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.timer.ResplitSchedule;

/**
 * A circuit breaker for the shared counter. After many consecutive calls without a reply the counter is not called for
 * a while, for longer each time (exponential backoff); then one call at a time tests whether the counter responds
 * again.
 */
public final class CounterCircuitBreaker {
    /** This many consecutive unanswered calls cannot be chance. */
    private static final int MISSES_UNTIL_OPEN = 8;

    private static final double INITIAL_BACKOFF_MS = ResplitSchedule.PERIOD_MS;
    /** 2 s, so that a counter that responds again is soon used. */
    private static final double MAX_BACKOFF_MS = 8 * ResplitSchedule.PERIOD_MS;

    private int consecutiveMisses;
    private double backoffMs = INITIAL_BACKOFF_MS;
    private double openUntil;
    private double openSince;

    /** Called when a call has ended. */
    void onReply(CallOutcome outcome, double now) {
        if (outcome == CallOutcome.OK) {
            consecutiveMisses = 0;
            backoffMs = INITIAL_BACKOFF_MS;
            return;
        }
        // a reset connection or an error reply shows that the counter was up a moment ago
        if (outcome != CallOutcome.RESET && outcome != CallOutcome.ERROR) {
            consecutiveMisses++;
        }
        if (isProbing() && !isOpen(now)) {
            if (backoffMs == INITIAL_BACKOFF_MS) {
                openSince = now;
            }
            openUntil = now + backoffMs;
            backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
        }
    }

    /** Returns whether the counter must not be called at present. */
    boolean isOpen(double now) {
        return now < openUntil;
    }

    /** Returns whether the counter did not respond to the last calls, so that only single calls may test it. */
    boolean isProbing() {
        return consecutiveMisses >= MISSES_UNTIL_OPEN;
    }

    /** Returns when the current outage, or else the last one, was detected. */
    double openSince() {
        return openSince;
    }
}
