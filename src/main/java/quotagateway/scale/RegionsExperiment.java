package quotagateway.scale;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Regions lose each other: servers are reached within one's own, and the counter in the first one only. */
@Command(
        name = "regions",
        mixinStandardHelpOptions = true,
        description = "What is served while regions are apart, and after they meet again")
final class RegionsExperiment extends SimulatedFleetExperiment {
    private static final double SETTLE_MS = 8000;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "virtual seconds apart, and together again " + "(default ${DEFAULT-VALUE})")
    int seconds;

    @Override
    void checkOptions() {
        require(seconds > 0, "--seconds has to be above 0");
        require(options.regions > 1, "--regions has to be above 1");
    }

    @Override
    void measurePoint(int size) {
        SimulatedFleet fleet = startFleet(size, SETTLE_MS);
        measurePhase(fleet, size, "regions.before");
        fleet.setRegionsPartitioned(true);
        measurePhase(fleet, size, "regions.apart");
        fleet.setRegionsPartitioned(false);
        measurePhase(fleet, size, "regions.after");
    }

    private void measurePhase(SimulatedFleet fleet, int size, String metric) {
        long served = fleet.served();
        long ended = fleet.ended();
        long calls = fleet.counter.calls;
        fleet.latency.reset();
        run(fleet, seconds * 1000.0);
        results.add(
                metric + "_served",
                "nodes",
                size,
                (fleet.served() - served) / (double) Math.max(1, fleet.ended() - ended),
                "share");
        results.add(metric + "_latency_p99", "nodes", size, fleet.latency.getValueAtPercentile(99) / 1000.0, "ms");
        results.add(metric + "_counter_calls", "nodes", size, (fleet.counter.calls - calls) / (double) seconds, "1/s");
    }
}
