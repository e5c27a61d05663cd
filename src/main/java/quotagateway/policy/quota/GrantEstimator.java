package quotagateway.policy.quota;

import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.statistics.Ewma;
import quotagateway.policy.traffic.SendRateLimiter;
import quotagateway.policy.traffic.TrafficMeter;

/** How much of what one customer asks for is inside its quota, by the counter's last replies. */
final class GrantEstimator {
    /** There are few replies, and the last one says most. */
    private static final double WEIGHT = 1.0 / 2;
    /** Keeps the break-even defined on a plan where a request beyond the quota costs nothing and earns all. */
    private static final double MAX_EXCESS_WEIGHT = 0.99;

    private final QuotaPlan plan;
    private final SendRateLimiter limiter;
    private final TrafficMeter traffic;
    private final Ewma usualGrant;
    private double grant;

    /** @param usualGrant that of all customers, where this one begins */
    GrantEstimator(QuotaPlan plan, SendRateLimiter limiter, TrafficMeter traffic, Ewma usualGrant) {
        this.plan = plan;
        this.limiter = limiter;
        this.traffic = traffic;
        this.usualGrant = usualGrant;
        grant = usualGrant.value();
    }

    /** This part of a claim was granted, from 0 to 1. */
    void recordClaim(double granted) {
        record(granted);
        usualGrant.add(granted);
    }

    /** A try for a slot has succeeded or not. */
    void recordSlot(boolean granted) {
        record(granted ? 1 : 0);
    }

    private void record(double granted) {
        grant += (granted - grant) * WEIGHT;
    }

    /** Whether more than half of what is claimed is granted. */
    boolean isMostlyGranted() {
        return grant > 0.5;
    }

    /**
     * Whether to admit a request without asking earns more than it costs: by the plan's prices of a request beyond the
     * quota, and where endpoints are not pressed. Inside the quota it earns only what a rejection would lose for good:
     * where clients come again, most of them are served later.
     */
    boolean paysToAdmitUnasked() {
        double cost = plan.excessCost();
        double lostByRejection = 1 - traffic.sentLaterShare();
        double gain = lostByRejection * (1 - Math.min(plan.excessWeight(), MAX_EXCESS_WEIGHT));
        double breakEven = cost / (cost + gain);
        return limiter.isAboveDemand() && grant > breakEven;
    }
}
