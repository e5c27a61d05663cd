package quotagateway.policy.quota;

import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.statistics.Ewma;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.ResplitSchedule;
import quotagateway.policy.timer.TimerQueue;
import quotagateway.policy.traffic.SendRateLimiter;
import quotagateway.policy.traffic.TrafficMeter;

/**
 * What the quotas of all customers share.
 *
 * @param usualGrant the part of what any customer claims that is granted: where a new customer's own begins
 */
public record QuotaContext(
        PolicySettings settings,
        LatencyObjectives objectives,
        EventClock clock,
        TimerQueue timers,
        ResplitSchedule schedule,
        SendRateLimiter limiter,
        TrafficMeter traffic,
        CounterCalls calls,
        Ewma usualGrant) {
    /** Until seen, all that is claimed is taken to be granted. */
    public static Ewma newUsualGrant() {
        return new Ewma(Ewma.SLOW_EWMA_WEIGHT, 1);
    }

    double now() {
        return clock.now();
    }
}
