package quotagateway.policy.api;

/**
 * A plan: the quota of each customer on it, over all gateways together.
 *
 * @param name its name in requests
 * @param rate units per second, 0 for no limit
 * @param burst capacity of the quota's token bucket (units)
 * @param concurrencyLimit number of requests that may be open at the same time, 0 for no limit
 * @param price worth of one unit
 * @param excessWeight fraction of its worth that a request beyond the quota earns
 * @param excessCost fraction of its worth that forwarding a request beyond the quota costs
 * @param hardLimitRate units per second of the hard limit, which is never exceeded, 0 for none
 * @param hardLimitBurst capacity of the hard limit's token bucket (units)
 * @param hardLimitSlack how far below 0 (units) the hard limit's bucket may fall
 */
public record QuotaPlan(
        String name,
        double rate,
        double burst,
        int concurrencyLimit,
        double price,
        double excessWeight,
        double excessCost,
        double hardLimitRate,
        double hardLimitBurst,
        double hardLimitSlack) {}
