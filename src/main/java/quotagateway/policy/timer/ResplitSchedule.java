package quotagateway.policy.timer;

import quotagateway.policy.api.PolicySettings;

/**
 * When a gateway re-splits the quotas: at the end of every period. The design page asks for four a second. Gateways
 * spread their moments evenly over the period, or the counter would get all their calls at once.
 */
public final class ResplitSchedule {
    /** The length of a period, a quarter of a second by the design page. */
    public static final double PERIOD_MS = 250;

    private final double phaseMs;

    public ResplitSchedule(PolicySettings settings) {
        phaseMs = PERIOD_MS * settings.nodeIndex() / settings.nodeCount();
    }

    /**
     * The first re-split of this gateway after this time. The sum may round to the time itself where that is one: a
     * timer set to now would run again at once, for ever.
     */
    public double nextAfter(double now) {
        double next = (Math.floor((now - phaseMs) / PERIOD_MS) + 1) * PERIOD_MS + phaseMs;
        return next > now ? next : next + PERIOD_MS;
    }
}
