package quotagateway.policy.api;

/** A plan; a rate, open or ceilingRate of 0 means that there is no such limit. */
public record QuotaPlan(
        String name,
        double rate,
        double burst,
        int concurrencyLimit,
        double price,
        double excessWeight,
        double excessCost,
        double ceilingRate,
        double ceilingBurst,
        double ceilingSlack) {}
