package quotagateway.policy.api;

/**
 * An endpoint as described by an endpoint list.
 *
 * @param id its id, which does not change while it is listed
 * @param cell number of the cell that it belongs to
 * @param zone name of its zone
 * @param state whether it takes new requests
 * @param kind its kind of machine
 * @param startedAt when its process started (ms of the host's clock), 0 if that was long ago
 * @param weight its share of the load
 * @param address where it listens, in the host's encoding, which the policy only passes back; 0 for none
 */
public record EndpointDescriptor(
        String id,
        int cell,
        String zone,
        EndpointState state,
        String kind,
        double startedAt,
        double weight,
        long address) {}
