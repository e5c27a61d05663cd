package quotagateway.policy.api;

/**
 * An endpoint as an endpoint list names it.
 *
 * @param id its name, the same for as long as it is listed
 * @param cell number of the cell that it belongs to
 * @param zone name of its zone
 * @param state whether it takes new requests
 * @param kind kind of machine
 * @param startedAt when its process started (ms of the host's clock), 0 where that was long ago
 * @param weight its share of the load
 * @param address where it listens, in the host's own form; the policy only hands it back; 0 for none
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
