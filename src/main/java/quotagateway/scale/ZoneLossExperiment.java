package quotagateway.scale;

import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;

/** All servers of a zone vanish, and later come back cold: how long the fleet takes each time. */
@Command(
        name = "zone-loss",
        mixinStandardHelpOptions = true,
        description = "Time until as much is served as before, after a zone's loss and after its return")
final class ZoneLossExperiment extends SimulatedFleetExperiment {
    private static final double SETTLE_MS = 8000;
    private static final double WINDOW_MS = 500;
    /** So much of what was served before, in so many windows in a row, is back. */
    private static final double RECOVERED_SHARE = 0.99;

    private static final int RECOVERED_WINDOWS = 3;

    @Option(
            names = "--seconds",
            defaultValue = "20",
            description = "virtual seconds that are watched after the "
                    + "loss, and after the return (default ${DEFAULT-VALUE})")
    int seconds;

    @Option(names = "--quiet", description = "discovery is silent meanwhile: nodes have to see for themselves")
    boolean quiet;

    @Override
    void checkOptions() {
        require(seconds > 0, "--seconds has to be above 0");
        require(options.zones > 1, "--zones has to be above 1");
    }

    @Override
    void measurePoint(int size) {
        SimulatedFleet fleet = startFleet(size, SETTLE_MS);
        fleet.setDiscoverySilent(quiet);
        double usual = servedShare(fleet, 4 * WINDOW_MS);
        long zoneBefore = zoneAttempts(fleet);
        run(fleet, 4 * WINDOW_MS);
        double zoneUsual = (zoneAttempts(fleet) - zoneBefore) / 4.0;
        List<EndpointDescriptor> removed = new ArrayList<>();
        for (int i = 0; i < fleet.endpoints.length; i++) {
            if (fleet.inventory.zone(i) == 0) {
                fleet.endpoints[i].stop(SimulatedEndpoint.Availability.SILENT);
                removed.add(fleet.inventory.descriptor(i, EndpointState.REMOVED, 0));
            }
        }
        fleet.announceChange(removed);
        watch(fleet, size, "loss", usual);
        results.add("zone.kept_after_loss_least", "nodes", size, fewestEndpointsRetained(fleet), "servers");
        List<EndpointDescriptor> back = new ArrayList<>();
        for (EndpointDescriptor s : removed) {
            int server = EndpointInventory.numberOf(s.id());
            fleet.endpoints[server].restart();
            back.add(fleet.inventory.descriptor(server, EndpointState.UP, fleet.clock.now()));
        }
        fleet.announceChange(back);
        long got = zoneAttempts(fleet);
        watch(fleet, size, "return", usual);
        results.add(
                "zone.load_after_return",
                "nodes",
                size,
                (zoneAttempts(fleet) - got) / (seconds * 1000 / WINDOW_MS) / Math.max(1, zoneUsual),
                "share");
    }

    /** Windows of what is served, of all that ends in them: arrivals of a window are too uneven. */
    private void watch(SimulatedFleet fleet, int size, String what, double usual) {
        double least = 1;
        double back = seconds * 1000.0;
        int good = 0;
        for (int i = 0; i < seconds * 1000 / WINDOW_MS; i++) {
            double share = servedShare(fleet, WINDOW_MS);
            least = Math.min(least, share);
            good = share >= RECOVERED_SHARE * usual ? good + 1 : 0;
            if (share < RECOVERED_SHARE * usual) {
                back = seconds * 1000.0;
            } else if (good == RECOVERED_WINDOWS) {
                back = Math.min(back, (i + 1 - RECOVERED_WINDOWS) * WINDOW_MS);
            }
        }
        results.add("zone." + what + "_served_least", "nodes", size, least, "share");
        results.add("zone." + what + "_time_back", "nodes", size, back, "ms");
    }

    private double servedShare(SimulatedFleet fleet, double window) {
        long served = fleet.served();
        long ended = fleet.ended();
        run(fleet, window);
        return (fleet.served() - served) / (double) Math.max(1, fleet.ended() - ended);
    }

    /** Servers that are up, in the set of the node that has fewest. */
    private static int fewestEndpointsRetained(SimulatedFleet fleet) {
        int least = Integer.MAX_VALUE;
        for (SimulatedNode node : fleet.nodes) {
            least = (int) Math.min(
                    least,
                    node.retainedEndpoints().stream()
                            .filter(i -> fleet.endpoints[i].availability == SimulatedEndpoint.Availability.UP)
                            .count());
        }
        return least;
    }

    private static long zoneAttempts(SimulatedFleet fleet) {
        long sum = 0;
        for (int i = 0; i < fleet.endpoints.length; i++) {
            sum += fleet.inventory.zone(i) == 0 ? fleet.endpoints[i].attemptsReceived : 0;
        }
        return sum;
    }
}
