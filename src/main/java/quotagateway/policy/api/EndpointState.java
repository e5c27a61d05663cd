package quotagateway.policy.api;

public enum EndpointState {
    UP,
    DRAINING,
    REMOVED
}
