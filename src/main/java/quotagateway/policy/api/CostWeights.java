package quotagateway.policy.api;

/** What costs points of the result. */
public record CostWeights(double waste, double healthCheck, double counter, double crossZone, double lateFailure) {}
