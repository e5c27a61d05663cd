package quotagateway.policy.timer;

import quotagateway.policy.api.PolicySettings;

/**
 * Schedules the re-split of the quotas at the end of every period. The design page requires four re-splits per second.
 * The gateways spread their re-splits evenly over the period, because the counter would otherwise receive all their
 * calls simultaneously.
 */
public final class ResplitSchedule {
    /** The length of a period: a quarter of a second, as the design page requires. */
    public static final double PERIOD_MS = 250;

    private final double phaseMs;

    public ResplitSchedule(PolicySettings settings) {
        phaseMs = PERIOD_MS * settings.nodeIndex() / settings.nodeCount();
    }

    /**
     * Returns the time of this gateway's first re-split after {@code now}. If {@code now} is the time of a re-split,
     * the sum may be rounded to {@code now} itself; a timer set to it would run again immediately, in an endless loop.
     */
    public double nextAfter(double now) {
        double next = (Math.floor((now - phaseMs) / PERIOD_MS) + 1) * PERIOD_MS + phaseMs;
        return next > now ? next : next + PERIOD_MS;
    }
}
