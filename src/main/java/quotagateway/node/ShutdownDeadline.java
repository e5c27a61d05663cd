package quotagateway.node;

import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.RequestClass;

/**
 * How long a node has between SIGTERM and SIGKILL. The protocol page promises a kill no sooner than the
 * longest deadline plus 0.7 s, with that deadline counted as 3 s where it is longer; it may come right then.
 */
final class ShutdownDeadline {
    /** From the end of the longest deadline to the earliest kill (ms). */
    private static final double KILL_BEHIND_DEADLINE = 700;
    /** A longer deadline counts as this (ms). */
    private static final double DEADLINE_COUNTED = 3000;
    /**
     * Off the time to the earliest kill (ms): a node may be held up for 150 ms as the signal comes, and again
     * as it writes its last answers.
     */
    private static final double RESERVE = 300;

    private ShutdownDeadline() {}

    /** How long after SIGTERM (ms) all that is taken has to be answered. */
    static double answersDue(PolicySettings settings) {
        return earliestKill(settings) - RESERVE;
    }

    /** How long after SIGTERM (ms) SIGKILL may come; settings that tell no deadline may have any. */
    static double earliestKill(PolicySettings settings) {
        double longest = settings.requestClasses().stream()
                .mapToDouble(RequestClass::deadline)
                .max()
                .orElse(0);
        double counted = longest > 0 ? Math.min(longest, DEADLINE_COUNTED) : DEADLINE_COUNTED;
        return counted + KILL_BEHIND_DEADLINE;
    }
}
