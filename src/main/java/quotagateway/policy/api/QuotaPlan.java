package quotagateway.policy.api;

/**
 * A plan: the quota of each customer on it, over all gateways together.
 *
 * @param name its name in requests
 * @param rate units a second, 0 for no limit
 * @param burst units that the quota's token bucket holds at the most
 * @param concurrencyLimit requests that may be open at once, 0 for no limit
 * @param price what a unit is worth
 * @param excessWeight the part of its worth that a request beyond the quota earns
 * @param excessCost the part of its worth that forwarding a request beyond the quota costs
 * @param ceilingRate units a second of the hard limit, which is never exceeded, 0 for none
 * @param ceilingBurst units that the hard limit's token bucket holds at the most
 * @param ceilingSlack how far below 0 (units) the hard limit's bucket may fall
 */
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
