package quotagateway.scale;

import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;

/** Servers are replaced and come back cold: what they get of all nodes while they warm up. */
@Command(
        name = "ramp",
        mixinStandardHelpOptions = true,
        description = "The sums that cold servers get of all simulated nodes, over every window of the settings")
final class RampExperiment extends SimulatedFleetExperiment {
    private static final double SETTLE_MS = 6000;

    @Option(
            names = "--part",
            defaultValue = "0.1",
            description = "of the servers that are replaced together " + "(default ${DEFAULT-VALUE})")
    double part;

    @Option(
            names = "--restart-nodes",
            defaultValue = "0.2",
            description = "part of the nodes that are killed " + "together during the ramp (default ${DEFAULT-VALUE})")
    double restarted;

    @Override
    void checkOptions() {
        require(part > 0 && part <= 1 && restarted >= 0 && restarted <= 1, "--part and --restart-nodes are parts of 1");
    }

    @Override
    void measurePoint(int size) {
        SimulatedFleet fleet = startFleet(size, SETTLE_MS);
        long[] before = new long[fleet.endpoints.length];
        List<EndpointDescriptor> entries = new ArrayList<>();
        int cold = (int) Math.max(1, part * fleet.endpoints.length);
        double began = fleet.clock.now();
        for (int i = 0; i < cold; i++) {
            int server = (int) ((long) i * fleet.endpoints.length / cold);
            fleet.endpoints[server].restart();
            entries.add(fleet.inventory.descriptor(server, EndpointState.UP, began));
        }
        for (int i = 0; i < before.length; i++) {
            before[i] = fleet.endpoints[i].attemptsReceived;
        }
        fleet.announceChange(entries);
        run(fleet, options.maxNoticeDelayMs());
        for (int i = 0; i < (int) (restarted * size); i++) {
            fleet.restart(fleet.nodes[i], 1000, entries);
        }
        run(fleet, ScaleSettings.SLOW_START_DURATION_MS - options.maxNoticeDelayMs());
        addResults(fleet, size, before, began + options.maxNoticeDelayMs());
    }

    /** The fullest window of each server that was cold, of those in which all nodes knew. */
    private void addResults(SimulatedFleet fleet, int size, long[] before, double announcedAt) {
        double worst = 0;
        double mean = 0;
        int overloaded = 0;
        int cold = 0;
        double coldGot = 0;
        double warmGot = 0;
        for (int i = 0; i < before.length; i++) {
            SimulatedEndpoint host = fleet.endpoints[i];
            if (host.attemptTimesSinceRestart == null) {
                warmGot += host.attemptsReceived - before[i];
                continue;
            }
            cold++;
            coldGot += host.attemptsReceived - before[i];
            double[] sums = fullestWindow(host, announcedAt);
            worst = Math.max(worst, sums[0]);
            mean += sums[0];
            overloaded += sums[1] > 0 ? 1 : 0;
        }
        results.add("ramp.fullest_window_of_budget_worst", "nodes", size, worst, "share");
        results.add("ramp.fullest_window_of_budget_mean", "nodes", size, mean / cold, "share");
        results.add("ramp.servers_past_budget_and_chance", "nodes", size, overloaded / (double) cold, "share");
        results.add(
                "ramp.cold_to_warm_load",
                "nodes",
                size,
                coldGot / cold / (warmGot / Math.max(1, before.length - cold)),
                "share");
    }

    /** The most of its budget that a window had, and by how much one went beyond budget and chance. */
    private static double[] fullestWindow(SimulatedEndpoint host, double announcedAt) {
        double[] times = host.attemptTimesSinceRestart.stream()
                .mapToDouble(t -> t)
                .filter(t -> t >= announcedAt)
                .toArray();
        double fullest = 0;
        double beyond = 0;
        for (int from = 0, to = 0; from < times.length; from++) {
            while (to < times.length && times[to] < times[from] + ScaleSettings.OVERLOAD_WINDOW_MS) {
                to++;
            }
            double budget = host.overloadBudget(times[from], ScaleSettings.OVERLOAD_WINDOW_MS);
            fullest = Math.max(fullest, (to - from) / budget);
            beyond = Math.max(beyond, to - from - budget - 2 * Math.sqrt(budget) - 2);
        }
        return new double[] {fullest, beyond};
    }
}
