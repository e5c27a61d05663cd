package quotagateway.scale;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Fleets of several sizes in ordinary traffic: connections and load of a server, calls to the counter. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Connections and load a server, and counter calls, over the number of simulated nodes")
final class FleetExperiment extends SimulatedFleetExperiment {
    /** Rates are learnt and first lists have come by then (virtual ms). */
    private static final double SETTLE_MS = 5000;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "virtual seconds that are measured " + "(default ${DEFAULT-VALUE})")
    int seconds;

    @Option(
            names = "--together",
            defaultValue = "2000000",
            description = "entries of all nodes' lists up to "
                    + "which nodes share one clock; larger fleets run a node at a time (default ${DEFAULT-VALUE})")
    long together;

    @Option(
            names = "--threads",
            defaultValue = "3",
            description = "for nodes that run one at a time " + "(default ${DEFAULT-VALUE})")
    int threads;

    @Override
    void checkOptions() {
        require(seconds > 0 && threads > 0, "--seconds and --threads have to be above 0");
    }

    @Override
    void measurePoint(int size) throws Exception {
        if ((long) size * options.endpointCount(size) <= together) {
            together(size);
        } else {
            measureIndependently(size);
        }
    }

    /** Calls to the counter and latency need nodes that meet: they are not told here. */
    private void measureIndependently(int size) throws Exception {
        IndependentNodes nodes = new IndependentNodes(options, size, seed, seconds);
        nodes.run(threads, () -> {
            checkTimeLimitNow();
            showProgress(nodes.progress());
        });
        addDistributions(size, nodes.connectionsPerEndpoint(), nodes.connectionsPerNode, nodes.requestsPerEndpoint());
    }

    private void addDistributions(int size, long[] connections, long[] kept, long[] load) {
        Distribution.of(connections).addTo(results, "fleet.connections_per_server", size, 1, "connections");
        Distribution.of(kept).addTo(results, "fleet.connections_per_node", size, 1, "connections");
        Distribution.of(load).addTo(results, "fleet.requests_per_server_s", size, seconds, "1/s");
    }

    private void together(int size) {
        SimulatedFleet fleet = startFleet(size, SETTLE_MS);
        long[] before = attemptsReceived(fleet);
        long calls = fleet.counter.calls;
        long arrivals = fleet.arrivals();
        long served = fleet.served();
        fleet.latency.reset();
        run(fleet, seconds * 1000.0);
        long[] load = attemptsReceived(fleet);
        for (int i = 0; i < load.length; i++) {
            load[i] -= before[i];
        }
        long[] kept = new long[size];
        for (int i = 0; i < size; i++) {
            kept[i] = fleet.nodes[i].retainedEndpoints().cardinality();
        }
        addDistributions(size, fleet.connections(), kept, load);
        double called = (fleet.counter.calls - calls) / (double) seconds;
        results.add("fleet.counter_calls_per_node_s", "nodes", size, called / size, "1/s");
        results.add("fleet.counter_calls_all_s", "nodes", size, called, "1/s");
        results.add(
                "fleet.served_share",
                "nodes",
                size,
                (fleet.served() - served) / (double) (fleet.arrivals() - arrivals),
                "share");
        results.add("fleet.latency_mean", "nodes", size, fleet.latency.getMean() / 1000, "ms");
        for (double p : new double[] {50, 99, 99.9}) {
            results.add(
                    "fleet.latency_p" + Results.number(p),
                    "nodes",
                    size,
                    fleet.latency.getValueAtPercentile(p) / 1000.0,
                    "ms");
        }
    }

    private static long[] attemptsReceived(SimulatedFleet fleet) {
        long[] got = new long[fleet.endpoints.length];
        for (int i = 0; i < got.length; i++) {
            got[i] = fleet.endpoints[i].attemptsReceived;
        }
        return got;
    }
}
