package quotagateway.node;

import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.RequestClass;

/**
 * How long a node has between SIGTERM and SIGKILL: the longest deadline of any request class, counted as 3 s where it
 * is longer, and 0.7 s. SIGKILL may come right then.
 */
final class ShutdownDeadline {
    /** From the end of the longest deadline to the earliest SIGKILL (ms). */
    private static final double KILL_AFTER_DEADLINE_MS = 700;
    /** A longer deadline counts as this (ms). */
    private static final double MAX_COUNTED_DEADLINE_MS = 3000;
    /**
     * Taken off the time to the earliest SIGKILL (ms): a node may be held up for 150 ms as the signal comes, and
     * again as it writes its last responses.
     */
    private static final double RESERVE_MS = 300;

    private ShutdownDeadline() {}

    /** How long after SIGTERM (ms) all accepted requests have to have their responses. */
    static double responsesDueInMs(PolicySettings settings) {
        return earliestKillMs(settings) - RESERVE_MS;
    }

    /** How long after SIGTERM (ms) SIGKILL may come; without a deadline in the settings the longest is assumed. */
    static double earliestKillMs(PolicySettings settings) {
        double longest = settings.requestClasses().stream()
                .mapToDouble(RequestClass::deadline)
                .max()
                .orElse(0);
        double counted = longest > 0 ? Math.min(longest, MAX_COUNTED_DEADLINE_MS) : MAX_COUNTED_DEADLINE_MS;
        return counted + KILL_AFTER_DEADLINE_MS;
    }
}
