package quotagateway.scale;

import picocli.CommandLine.Option;

/** What a fleet of hollow nodes is like; options of all experiments that have one. */
final class FleetOptions {
    @Option(
            names = "--servers-per-node",
            defaultValue = "24.4",
            description = "servers listed, for each node " + "(default ${DEFAULT-VALUE})")
    double serversPerNode;

    @Option(
            names = "--least-servers",
            defaultValue = "10",
            description = "in a small fleet " + "(default ${DEFAULT-VALUE})")
    int leastServers;

    @Option(
            names = "--rate",
            defaultValue = "183",
            description = "requests a second and node " + "(default ${DEFAULT-VALUE})")
    double rate;

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
            defaultValue = "16",
            description = "requests that a server holds beside " + "(default ${DEFAULT-VALUE})")
    int queue;

    @Option(
            names = "--service-ms",
            defaultValue = "60",
            description = "mean time of a server for a request " + "(default ${DEFAULT-VALUE})")
    double service;

    @Option(
            names = "--counter-per-s",
            defaultValue = "1500",
            description = "calls that the counter serves " + "(default ${DEFAULT-VALUE})")
    double counterRate;

    @Option(
            names = "--counter-ms",
            defaultValue = "1",
            description = "to the counter and back " + "(default ${DEFAULT-VALUE})")
    double counterWay;

    @Option(
            names = "--notice-ms",
            split = ",",
            arity = "1",
            defaultValue = "500,4000",
            description = "a change is with a node after FROM,TO at random (default ${DEFAULT-VALUE})")
    double[] notice;

    int servers(int nodes) {
        return (int) Math.max(leastServers, Math.round(nodes * serversPerNode));
    }

    int customers(int nodes) {
        return (int) Math.max(10, Math.round(nodes * customersPerNode));
    }

    SimulatedEndpoint.Capacity kind() {
        return new SimulatedEndpoint.Capacity(slots, queue, service);
    }

    void check() {
        Experiment.require(
                serversPerNode > 0
                        && leastServers > 0
                        && rate > 0
                        && customersPerNode > 0
                        && slots > 0
                        && queue >= 0
                        && service > 0
                        && counterRate > 0
                        && counterWay >= 0
                        && regions > 0,
                "the fleet's shape has to be above 0");
        Experiment.require(zones >= regions, "--regions are made of zones: at most --zones");
        Experiment.require(
                notice.length == 2 && notice[0] >= 0 && notice[1] >= notice[0], "--notice-ms has to be FROM,TO");
    }
}
