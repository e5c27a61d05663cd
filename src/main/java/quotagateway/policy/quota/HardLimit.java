package quotagateway.policy.quota;

import quotagateway.policy.api.QuotaPlan;

/**
 * The hard limit (ceiling) of a plan, which is never exceeded, whatever the counter says: each gateway holds its even
 * part of it as a token bucket of its own, rounded down and empty at the start.
 */
final class HardLimit {
    private final QuotaPlan plan;
    private final int gatewayCount;
    private final TokenBucket bucket;

    HardLimit(QuotaHolder holder, double now) {
        plan = holder.plan();
        gatewayCount = holder.gatewayCount();
        double burst = Math.floor(plan.ceilingBurst() / gatewayCount);
        bucket = new TokenBucket(burst, plan.ceilingRate() / gatewayCount / 1000, now);
        bucket.set(0, now);
    }

    /** Whether the plan has a hard limit. */
    boolean exists() {
        return plan.ceilingRate() > 0;
    }

    /** Whether so many units may be spent now. */
    boolean allows(double units, double now) {
        if (!exists()) {
            return true;
        }
        bucket.refill((now - bucket.updatedAt()) / 1000 * plan.ceilingRate() / gatewayCount, now);
        return bucket.lastLevel() >= units;
    }

    void spend(double units) {
        bucket.take(units);
    }
}
