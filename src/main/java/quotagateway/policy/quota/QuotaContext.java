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
 * The settings and services that the quotas of all customers share.
 *
 * @param averageGrantRatio the granted part of the claims of all customers: the initial value of a new customer's own
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
        Ewma averageGrantRatio) {
    /** Returns an average that starts at 1: until the first reply, claims are assumed to be granted in full. */
    public static Ewma newAverageGrantRatio() {
        return new Ewma(Ewma.SLOW_EWMA_WEIGHT, 1);
    }

    double now() {
        return clock.now();
    }
}
