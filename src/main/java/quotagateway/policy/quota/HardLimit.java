package quotagateway.policy.quota;

import quotagateway.policy.api.QuotaPlan;

/**
 * The hard limit (ceiling) of a plan, which is never exceeded, whatever the counter reports. Each gateway enforces its
 * even share of the limit with its own token bucket, whose burst is rounded down and which is empty at the start.
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

    /** Returns this gateway's share of the plan's hard limit, or a limit that allows everything if there is none. */
    static HardLimit of(QuotaScope scope, double now) {
        QuotaPlan plan = scope.plan();
        if (plan.hardLimitRate() <= 0) {
            return NONE;
        }
        double burst = Math.floor(plan.hardLimitBurst() / scope.gatewayCount());
        return new HardLimit(plan.hardLimitRate(), scope.gatewayCount(), new TokenBucket(burst, 0, now));
    }

    /** Returns whether the plan has a hard limit. */
    boolean exists() {
        return bucket != null;
    }

    /** Returns whether this many units may be spent now. */
    boolean allows(double units, double now) {
        if (bucket == null) {
            return true;
        }
        bucket.refill((now - bucket.updatedAt()) / 1000 * rate / gatewayCount, now);
        return bucket.level() >= units;
    }

    /** Deducts spent units. */
    void spend(double units) {
        if (bucket != null) {
            bucket.take(units);
        }
    }
}
