package quotagateway.policy.api;

import java.util.List;

/**
 * The settings of one gateway's policy, fixed at its start.
 *
 * @param nodeIndex index of this gateway, from 0
 * @param nodeCount number of gateways, 1 or more
 * @param zone the gateway's own zone
 * @param timerResolutionMs the shortest time that the host's timers distinguish
 * @param mustSubscribe whether endpoint lists arrive only after a subscription
 * @param reportsActualUnits whether responses report how many units a request has actually used
 * @param maxUnits maximum units of one request
 * @param loadFields names of the values in a load report, in the order of the report
 * @param requestClasses all request classes
 * @param plans all quota plans
 * @param capabilities what the deployment allows
 * @param rules the rules that every decision must follow
 * @param costs what the deployment counts as cost
 */
public record PolicySettings(
        int nodeIndex,
        int nodeCount,
        String zone,
        double timerResolutionMs,
        boolean mustSubscribe,
        boolean reportsActualUnits,
        int maxUnits,
        List<String> loadFields,
        List<RequestClass> requestClasses,
        List<QuotaPlan> plans,
        Capabilities capabilities,
        ServiceRules rules,
        CostWeights costs) {}
