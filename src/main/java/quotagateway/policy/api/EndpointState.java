package quotagateway.policy.api;

/** The state of an endpoint according to its endpoint list. */
public enum EndpointState {
    /** Accepts new requests. */
    UP,
    /** Finishes its open requests and accepts no new ones. */
    DRAINING,
    /** No longer present. */
    REMOVED
}
