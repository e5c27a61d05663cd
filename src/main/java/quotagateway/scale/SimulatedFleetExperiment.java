package quotagateway.scale;

import java.util.List;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** An experiment on simulated fleets that measures one point for each number of nodes. */
abstract class SimulatedFleetExperiment extends Experiment {
    private static final double STEP_MS = 100;

    @Mixin
    FleetOptions options;

    @Option(
            names = "--nodes",
            split = ",",
            defaultValue = "5,10,20,30",
            description = "simulated nodes, a point each (default ${DEFAULT-VALUE})")
    List<Integer> sizes;

    /** Measures a fleet of this size and adds the results. */
    abstract void measurePoint(int size) throws Exception;

    /** Refuses options of the experiment that make no sense. */
    abstract void checkOptions();

    @Override
    void measure() throws Exception {
        options.check();
        requireAtLeast(sizes, 1, "--nodes");
        checkOptions();
        for (int size : sizes) {
            measurePoint(size);
        }
    }

    /** A fleet that has run for a time (virtual ms). */
    SimulatedFleet startFleet(int size, double settleMs) {
        SimulatedFleet fleet = new SimulatedFleet(options, size, seed, this::checkTimeLimit);
        fleet.start();
        run(fleet, settleMs);
        return fleet;
    }

    /** Runs a fleet on, within the time limit. */
    void run(SimulatedFleet fleet, double milliseconds) {
        for (double left = milliseconds; left > 0; left -= STEP_MS) {
            fleet.run(Math.min(STEP_MS, left));
            showProgress(fleet.nodes.length + " nodes, " + fleet.inventory.size() + " servers, virtual second "
                    + Math.round((fleet.clock.now() - SimulatedFleet.START_MS) / 1000));
        }
    }
}
