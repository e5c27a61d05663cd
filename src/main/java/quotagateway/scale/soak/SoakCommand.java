package quotagateway.scale.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import quotagateway.scale.NodeLaunch;
import quotagateway.scale.RepositoryOption;
import quotagateway.scale.RunNotPossibleException;

/** The fault soak on the command line: a run for each seed, and exit code 1 where a rule was broken. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = "Real nodes under faults that overlap in time, held against the protocol's rules")
public final class SoakCommand implements Callable<Integer> {
    private static final int NODES_LEAST = 10;
    private static final int NODES_MOST = 40;
    private static final int SHOWN = 8;

    @Mixin
    private RepositoryOption repository;

    @Option(names = "--seed", defaultValue = "1", description = "of the first run (default ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--runs",
            defaultValue = "1",
            description = "runs, each with the next seed (default ${DEFAULT-VALUE})")
    private int runs;

    @Option(
            names = "--nodes",
            defaultValue = "0",
            description = "edge nodes; 0 draws 10 to 40 for each run (default ${DEFAULT-VALUE})")
    private int nodes;

    @Option(names = "--servers", defaultValue = "30", description = "place servers (default ${DEFAULT-VALUE})")
    private int servers;

    @Option(names = "--seconds", defaultValue = "25", description = "in which faults begin (default ${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--rate",
            defaultValue = "10",
            description = "requests a second at each node (default ${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--faults", defaultValue = "2", description = "that begin in a second (default ${DEFAULT-VALUE})")
    private double faults;

    @Option(names = "--keep", description = "keeps the nodes' logs in this folder, one for each seed")
    private Path keep;

    @Override
    public Integer call() throws Exception {
        require(
                runs > 0 && seconds > 0 && rate > 0 && faults >= 0 && servers > 0,
                "runs, seconds, rate and servers have to be above 0");
        require(nodes >= 0 && nodes <= NODES_MOST, "at most " + NODES_MOST + " nodes");
        require(keep == null || Files.isDirectory(keep), "no folder " + keep);
        int broken = 0;
        for (long next = seed; next < seed + runs; next++) {
            broken += run(next) ? 0 : 1;
        }
        System.out.println(runs - broken + " runs kept all rules, " + broken + " did not");
        return broken == 0 ? 0 : 1;
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new RunNotPossibleException(what);
        }
    }

    private boolean run(long next) throws Exception {
        int size = nodes > 0 ? nodes : NODES_LEAST + new SplittableRandom(next).nextInt(NODES_MOST - NODES_LEAST + 1);
        Path folder = keep == null
                ? Files.createTempDirectory("quota-gateway-soak")
                : Files.createDirectories(keep.resolve("seed-" + next));
        try {
            SoakReport report = new SoakRun(
                            repository.root(), folder, new SoakRun.Size(size, servers, seconds, rate, faults))
                    .run(next);
            System.out.println(report);
            report.violations().stream().limit(SHOWN).forEach(v -> System.out.println("  " + v));
            return report.violations().isEmpty();
        } finally {
            if (keep == null) {
                NodeLaunch.delete(folder);
            }
        }
    }
}
