package quotagateway.scale;

import java.util.List;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** An experiment on fleets of hollow nodes, a point for each size. */
abstract class SimulatedFleetExperiment extends Experiment {
    private static final double STEP = 100;

    @Mixin
    FleetOptions shape;

    @Option(
            names = "--nodes",
            split = ",",
            defaultValue = "5,10,20,30",
            description = "hollow nodes, a point each (default ${DEFAULT-VALUE})")
    List<Integer> sizes;

    abstract void point(int size) throws Exception;

    /** What is wrong with the options. */
    abstract void check();

    @Override
    void measure() throws Exception {
        shape.check();
        atLeast(sizes, 1, "--nodes");
        check();
        for (int size : sizes) {
            point(size);
        }
    }

    SimulatedFleet started(int size, double settled) {
        SimulatedFleet fleet = new SimulatedFleet(shape, size, seed, this::inTime);
        fleet.start();
        run(fleet, settled);
        return fleet;
    }

    void run(SimulatedFleet fleet, double milliseconds) {
        for (double left = milliseconds; left > 0; left -= STEP) {
            fleet.run(Math.min(STEP, left));
            progress(fleet.nodes.length + " nodes, " + fleet.servers.size() + " servers, virtual second "
                    + Math.round((fleet.clock.now() - SimulatedFleet.START) / 1000));
        }
    }
}
