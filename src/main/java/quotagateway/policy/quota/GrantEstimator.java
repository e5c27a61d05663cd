package quotagateway.policy.quota;

import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.statistics.Ewma;
import quotagateway.policy.traffic.SendRateLimiter;
import quotagateway.policy.traffic.TrafficMeter;

/** Estimates which part of what one customer requests is within its quota, by the counter's last replies. */
final class GrantEstimator {
    /** Weight of the last reply: there are few replies, and the last one is the most informative. */
    private static final double WEIGHT = 1.0 / 2;
    /**
     * Keeps the break-even defined on a plan where a request beyond the quota costs nothing and earns its full worth.
     */
    private static final double MAX_EXCESS_WEIGHT = 0.99;

    private final QuotaPlan plan;
    private final SendRateLimiter limiter;
    private final TrafficMeter traffic;
    private final Ewma averageGrantRatio;
    private double grantRatio;

    /** @param averageGrantRatio the average of all customers, which is the initial value of this one */
    GrantEstimator(QuotaPlan plan, SendRateLimiter limiter, TrafficMeter traffic, Ewma averageGrantRatio) {
        this.plan = plan;
        this.limiter = limiter;
        this.traffic = traffic;
        this.averageGrantRatio = averageGrantRatio;
        grantRatio = averageGrantRatio.value();
    }

    /** Records which part of a claim was granted, from 0 to 1. */
    void recordClaimReply(double granted) {
        record(granted);
        averageGrantRatio.add(granted);
    }

    /** Records whether a requested slot was granted. */
    void recordSlotReply(boolean granted) {
        record(granted ? 1 : 0);
    }

    private void record(double granted) {
        grantRatio += (granted - grantRatio) * WEIGHT;
    }

    /** Returns whether more than half of what is claimed is granted. */
    boolean isMostlyGranted() {
        return grantRatio > 0.5;
    }

    /**
     * Returns whether admitting a request without a counter call earns more than it costs, by the plan's prices of a
     * request beyond the quota, provided that endpoints are not overloaded. A request within the quota earns only what
     * a rejection would lose for good: where rejected clients retry, most of them are served later.
     */
    boolean isWorthAdmittingWithoutCounter() {
        double cost = plan.excessCost();
        double lostByRejection = 1 - traffic.eventuallySentShare();
        double gain = lostByRejection * (1 - Math.min(plan.excessWeight(), MAX_EXCESS_WEIGHT));
        double breakEven = cost / (cost + gain);
        return limiter.isAboveDemand() && grantRatio > breakEven;
    }
}
