package quotagateway.policy.slowstart;

import quotagateway.policy.api.ServiceRules;
import quotagateway.policy.traffic.SendRateLimiter;
import quotagateway.policy.traffic.TrafficMeter;

/** This gateway's part of what an endpoint in slow start bears. */
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
     * Sends for each millisecond to an endpoint that has this part of its capacity. By what is asked for, not only by
     * what is sent: with all endpoints cold both would become less and less.
     */
    public double sendsPerMs(double warmupFraction) {
        double safeFactor = Math.max(1, rules.overloadFactor() / 2); // half of what would overload it
        double wanted = Math.min(traffic.requestsPerSecond() * traffic.sentShare(), limiter.ratePerSecond());
        double perEndpoint = Math.max(traffic.sendsPerSecond(), wanted) / Math.max(1, fleetSize.usualSize());
        return perEndpoint / 1000 * warmupFraction * safeFactor;
    }
}
