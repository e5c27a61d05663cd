package quotagateway.policy.quota;

import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.timer.ResplitSchedule;

/**
 * Whether the shared counter is away. After many calls in a row without a reply it is not called for a while, for
 * longer each time (exponential backoff); then one call at a time finds out whether it is back.
 */
public final class CounterSilence {
    /** So many calls in a row unanswered are no chance. */
    private static final int MISSES_OF_SILENCE = 8;

    private static final double INITIAL_BACKOFF_MS = ResplitSchedule.PERIOD_MS;
    /** 2 s: a counter that is back is to be used soon. */
    private static final double MAX_BACKOFF_MS = 8 * ResplitSchedule.PERIOD_MS;

    private int consecutiveMisses;
    private double backoffMs = INITIAL_BACKOFF_MS;
    private double silentUntil;
    private double silentSince;

    /** A call has ended. */
    void onReply(CallOutcome outcome, double now) {
        if (outcome == CallOutcome.OK) {
            consecutiveMisses = 0;
            backoffMs = INITIAL_BACKOFF_MS;
            return;
        }
        // behind a connection that broke, or an error, the counter was up a moment ago
        if (outcome != CallOutcome.RESET && outcome != CallOutcome.ERROR) {
            consecutiveMisses++;
        }
        if (isProbing() && !isSilent(now)) {
            if (backoffMs == INITIAL_BACKOFF_MS) {
                silentSince = now;
            }
            silentUntil = now + backoffMs;
            backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
        }
    }

    /** Whether the counter must not be called at present. */
    boolean isSilent(double now) {
        return now < silentUntil;
    }

    /** Whether the counter was away when it was last called. */
    boolean isProbing() {
        return consecutiveMisses >= MISSES_OF_SILENCE;
    }

    /** When the present silence, or the last one, began. */
    double silentSince() {
        return silentSince;
    }
}
