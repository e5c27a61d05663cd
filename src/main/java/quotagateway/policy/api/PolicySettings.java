package quotagateway.policy.api;

import java.util.List;

/**
 * Everything that one policy is told at its start.
 *
 * @param nodeIndex which gateway this is, from 0
 * @param nodeCount how many gateways there are, 1 or more
 * @param zone the gateway's own zone
 * @param tick the shortest time that the host's timers tell apart (ms)
 * @param mustSubscribe whether endpoint lists come only when subscribed to
 * @param reportsActualUnits whether responses tell how many units a request has really used
 * @param maxUnits the most units of one request
 * @param loadFields names of the values in a load report, in the order of the report
 * @param requestClasses all classes of requests
 * @param plans all quota plans
 * @param capabilities what the deployment allows
 * @param rules the rules that every decision has to keep
 * @param costs what the deployment counts as cost
 */
public record PolicySettings(
        int nodeIndex,
        int nodeCount,
        String zone,
        double tick,
        boolean mustSubscribe,
        boolean reportsActualUnits,
        int maxUnits,
        List<String> loadFields,
        List<RequestClass> requestClasses,
        List<QuotaPlan> plans,
        Capabilities capabilities,
        ServiceRules rules,
        CostWeights costs) {}
