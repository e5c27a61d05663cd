package quotagateway.policy.api;

/**
 * What a deployment counts as cost, each as a fraction of the work or worth that it is measured against.
 *
 * @param waste work of endpoints that led to no response
 * @param healthCheck one health check
 * @param counter one call to the shared counter
 * @param crossZone an attempt in a zone other than the gateway's own
 * @param lateFailure a request that ended without being served, after its latency objective
 */
public record CostWeights(double waste, double healthCheck, double counter, double crossZone, double lateFailure) {}
