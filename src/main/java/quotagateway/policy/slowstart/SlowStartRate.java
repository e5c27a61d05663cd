package quotagateway.policy.slowstart;

import quotagateway.policy.api.ServiceRules;
import quotagateway.policy.traffic.SendRateLimiter;
import quotagateway.policy.traffic.TrafficMeter;

/** Calculates this gateway's share of the load that an endpoint in slow start can handle. */
public final class SlowStartRate {
    private final ServiceRules rules;
    private final TrafficMeter traffic;
    private final SendRateLimiter limiter;
    private final FleetSizeEstimator fleetSize;

    public SlowStartRate(
            ServiceRules rules, TrafficMeter traffic, SendRateLimiter limiter, FleetSizeEstimator fleetSize) {
        this.rules = rules;
        this.traffic = traffic;
        this.limiter = limiter;
        this.fleetSize = fleetSize;
    }

    /**
     * Returns the number of sends per millisecond to an endpoint that has this fraction of its capacity. The rate
     * depends on the requests received and not only on the attempts sent: when all endpoints are cold, the sends and a
     * rate derived from them alone would reduce each other further and further.
     */
    public double sendsPerMs(double warmupFraction) {
        double safeFactor = Math.max(1, rules.overloadFactor() / 2); // half of what overloads the endpoint
        double demandPerSecond = Math.min(traffic.requestsPerSecond() * traffic.sentShare(), limiter.ratePerSecond());
        double perEndpointPerSecond =
                Math.max(traffic.sendsPerSecond(), demandPerSecond) / Math.max(1, fleetSize.estimatedSize());
        return perEndpointPerSecond / 1000 * warmupFraction * safeFactor;
    }
}
