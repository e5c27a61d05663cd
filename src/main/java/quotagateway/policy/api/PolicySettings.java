package quotagateway.policy.api;

import java.util.List;

/** Everything one instance is told at its start. */
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
