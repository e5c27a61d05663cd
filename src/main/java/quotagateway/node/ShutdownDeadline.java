package quotagateway.node;

import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.RequestClass;

/**
 * The time that a node has between SIGTERM and SIGKILL: the longest deadline of any request class, limited to 3 s, plus
 * 0.7 s. SIGKILL may come exactly then.
 */
final class ShutdownDeadline {
    /**
     * Time (ms) from the longest deadline of any request class, counted from SIGTERM, to the earliest SIGKILL. Both
     * signals are sent from outside the gateway.
     */
    private static final double KILL_AFTER_DEADLINE_MS = 700;
    /** A longer deadline is counted as this (ms). */
    private static final double MAX_COUNTED_DEADLINE_MS = 3000;
    /**
     * Subtracted from the time to the earliest SIGKILL (ms): a node may stall for 150 ms when the signal arrives, and
     * again when it writes its last responses.
     */
    private static final double STALL_RESERVE_MS = 300;

    private ShutdownDeadline() {}

    /** Returns the time (ms) after SIGTERM by which all accepted requests have to have their responses. */
    static double responsesDueInMs(PolicySettings settings) {
        return earliestKillMs(settings) - STALL_RESERVE_MS;
    }

    /**
     * Returns the earliest time (ms) after SIGTERM at which SIGKILL may come; if the settings have no deadline, the
     * longest one is assumed.
     */
    static double earliestKillMs(PolicySettings settings) {
        double longest = settings.requestClasses().stream()
                .mapToDouble(RequestClass::deadline)
                .max()
                .orElse(0);
        double counted = longest > 0 ? Math.min(longest, MAX_COUNTED_DEADLINE_MS) : MAX_COUNTED_DEADLINE_MS;
        return counted + KILL_AFTER_DEADLINE_MS;
    }
}
