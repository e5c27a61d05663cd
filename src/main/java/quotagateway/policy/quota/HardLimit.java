package quotagateway.policy.quota;

import quotagateway.policy.api.QuotaPlan;

/**
 * The hard limit (ceiling) of a plan, which is never exceeded, whatever the counter says: each gateway holds its even
 * part of it as a token bucket of its own, rounded down and empty at the start.
 */
final class HardLimit {
    private static final HardLimit NONE = new HardLimit(0, 0, null);

    private final double rate;
    private final int gatewayCount;
    /** Null where there is no limit. */
    private final TokenBucket bucket;

    private HardLimit(double rate, int gatewayCount, TokenBucket bucket) {
        this.rate = rate;
        this.gatewayCount = gatewayCount;
        this.bucket = bucket;
    }

    /** This gateway's part of the plan's hard limit, if it has one. */
    static HardLimit of(QuotaHolder holder, double now) {
        QuotaPlan plan = holder.plan();
        if (plan.hardLimitRate() <= 0) {
            return NONE;
        }
        double burst = Math.floor(plan.hardLimitBurst() / holder.gatewayCount());
        return new HardLimit(plan.hardLimitRate(), holder.gatewayCount(), new TokenBucket(burst, 0, now));
    }

    /** Whether the plan has a hard limit. */
    boolean exists() {
        return bucket != null;
    }

    /** Whether so many units may be spent now. */
    boolean allows(double units, double now) {
        if (bucket == null) {
            return true;
        }
        bucket.refill((now - bucket.updatedAt()) / 1000 * rate / gatewayCount, now);
        return bucket.level() >= units;
    }

    /** Takes units off. */
    void spend(double units) {
        if (bucket != null) {
            bucket.take(units);
        }
    }
}
