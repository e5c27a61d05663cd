package quotagateway.policy.api;

/** The state of an endpoint by its endpoint list. */
public enum EndpointState {
    /** Takes new requests. */
    UP,
    /** Finishes what it has and takes no new requests. */
    DRAINING,
    /** No longer there. */
    REMOVED
}
