package quotagateway.scale;

import picocli.CommandLine.Option;

/**
 * The options that describe a simulated fleet, the same for all experiments that have one: endpoints and customers for
 * each node, load, endpoint capacity, the shared counter and how long changes take to be known.
 */
final class FleetOptions {
    @Option(
            names = "--servers-per-node",
            paramLabel = "<serversPerNode>",
            defaultValue = "24.4",
            description = "servers listed, for each node " + "(default ${DEFAULT-VALUE})")
    double endpointsPerNode;

    @Option(
            names = "--least-servers",
            paramLabel = "<leastServers>",
            defaultValue = "10",
            description = "in a small fleet " + "(default ${DEFAULT-VALUE})")
    int minEndpoints;

    @Option(
            names = "--rate",
            paramLabel = "<rate>",
            defaultValue = "183",
            description = "requests a second and node " + "(default ${DEFAULT-VALUE})")
    double requestsPerSecond;

    @Option(
            names = "--customers-per-node",
            defaultValue = "36.6",
            description = "customers in all, for each node (default ${DEFAULT-VALUE})")
    double customersPerNode;

    @Option(names = "--zones", defaultValue = "3", description = "zones (default ${DEFAULT-VALUE})")
    int zones;

    @Option(
            names = "--regions",
            defaultValue = "1",
            description = "regions: zones by turns " + "(default ${DEFAULT-VALUE})")
    int regions;

    @Option(
            names = "--slots",
            defaultValue = "2",
            description = "requests that a server works on at a time " + "(default ${DEFAULT-VALUE})")
    int slots;

    @Option(
            names = "--queue",
            paramLabel = "<queue>",
            defaultValue = "16",
            description = "requests that a server holds beside " + "(default ${DEFAULT-VALUE})")
    int queueLength;

    @Option(
            names = "--service-ms",
            paramLabel = "<service>",
            defaultValue = "60",
            description = "mean time of a server for a request " + "(default ${DEFAULT-VALUE})")
    double serviceMs;

    @Option(
            names = "--counter-per-s",
            paramLabel = "<counterRate>",
            defaultValue = "1500",
            description = "calls that the counter serves " + "(default ${DEFAULT-VALUE})")
    double counterCallsPerSecond;

    @Option(
            names = "--counter-ms",
            paramLabel = "<counterWay>",
            defaultValue = "1",
            description = "to the counter and back " + "(default ${DEFAULT-VALUE})")
    double counterRoundTripMs;

    @Option(
            names = "--notice-ms",
            paramLabel = "<notice>",
            split = ",",
            arity = "1",
            defaultValue = "500,4000",
            description = "a change is with a node after FROM,TO at random (default ${DEFAULT-VALUE})")
    double[] noticeDelayMs;

    /** How many endpoints a fleet of so many nodes has. */
    int endpointCount(int nodes) {
        return (int) Math.max(minEndpoints, Math.round(nodes * endpointsPerNode));
    }

    /** How many customers a fleet of so many nodes has. */
    int customerCount(int nodes) {
        return (int) Math.max(10, Math.round(nodes * customersPerNode));
    }

    /** What each endpoint can do. */
    SimulatedEndpoint.Capacity endpointCapacity() {
        return new SimulatedEndpoint.Capacity(slots, queueLength, serviceMs);
    }

    /** The shortest time (ms) until a node knows of a change. */
    double minNoticeDelayMs() {
        return noticeDelayMs[0];
    }

    /** The time (ms) by which every node knows of a change. */
    double maxNoticeDelayMs() {
        return noticeDelayMs[1];
    }

    /** Refuses values that describe no fleet. */
    void check() {
        Experiment.require(
                endpointsPerNode > 0
                        && minEndpoints > 0
                        && requestsPerSecond > 0
                        && customersPerNode > 0
                        && slots > 0
                        && queueLength >= 0
                        && serviceMs > 0
                        && counterCallsPerSecond > 0
                        && counterRoundTripMs >= 0
                        && regions > 0,
                "the fleet's shape has to be above 0");
        Experiment.require(zones >= regions, "--regions are made of zones: at most --zones");
        Experiment.require(
                noticeDelayMs.length == 2 && noticeDelayMs[0] >= 0 && noticeDelayMs[1] >= noticeDelayMs[0],
                "--notice-ms has to be FROM,TO");
    }
}
