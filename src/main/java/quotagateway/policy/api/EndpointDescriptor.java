package quotagateway.policy.api;

/**
 * A server as the list names it; startedAt is 0 where it started long ago. Where it listens is the host's
 * own affair: the module keeps the number and gives it back, 0 where there is none.
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
