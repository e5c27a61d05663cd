package quotagateway.policy.statistics;

import java.util.List;
import quotagateway.policy.api.RequestClass;

/**
 * The latency objectives of all request classes together.
 *
 * @param meanMs their mean, each class counted once
 * @param longestMs the longest of them
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
