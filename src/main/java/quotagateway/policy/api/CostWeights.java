package quotagateway.policy.api;

/**
 * What the deployment counts as cost, each as a share of the work or worth it is measured against.
 *
 * @param waste work of endpoints that served no response
 * @param healthCheck one health check
 * @param counter one call to the shared counter
 * @param crossZone an attempt in another zone than the gateway's own
 * @param lateFailure a request that ended unserved past its latency objective
 */
public record CostWeights(double waste, double healthCheck, double counter, double crossZone, double lateFailure) {}
