package quotagateway.policy.statistics;

import java.util.List;
import quotagateway.policy.api.RequestClass;

/**
 * Statistics of the latency objectives of all request classes.
 *
 * @param meanMs mean objective, with each class counted once
 * @param longestMs longest objective
 */
public record LatencyObjectives(double meanMs, double longestMs) {
    public static LatencyObjectives of(List<RequestClass> classes) {
        double mean = 0;
        double longest = 0;
        for (RequestClass requestClass : classes) {
            longest = Math.max(longest, requestClass.latencyObjective());
            mean += requestClass.latencyObjective() / classes.size();
        }
        return new LatencyObjectives(mean, longest);
    }
}
