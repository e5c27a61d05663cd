package quotagateway.scale;

import java.io.IOException;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import quotagateway.scale.soak.SoakCommand;

/** The command line of the scale run: experiments on the node and its module at the size of a large fleet. */
@Command(
        name = "quota-gateway-scale",
        mixinStandardHelpOptions = true,
        version = "0.1.0",
        description = "Measures the edge node and its decisions against the size of the fleet, on loopback.",
        subcommands = {
            ScaleCli.Quick.class,
            ModuleExperiment.class,
            NodeExperiment.class,
            FleetExperiment.class,
            RampExperiment.class,
            ZoneLossExperiment.class,
            ChangeExperiment.class,
            RegionsExperiment.class,
            SoakCommand.class
        },
        footer = "Exit codes: 0 all measured, 1 stopped by --max-seconds or a fault, 2 not possible as asked.")
public final class ScaleCli {
    private static final int NOT_POSSIBLE = 2;

    private ScaleCli() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs a command line; the exit code. */
    static int run(String... args) {
        return new CommandLine(new ScaleCli())
                .setParameterExceptionHandler((e, a) -> refuse(e.getMessage()))
                .setExecutionExceptionHandler((e, c, p) -> {
                    if (e instanceof RunNotPossibleException || e instanceof IOException) {
                        return refuse(e.getMessage() == null ? e.toString() : e.getMessage());
                    }
                    e.printStackTrace();
                    return 1;
                })
                .execute(args);
    }

    private static int refuse(String what) {
        System.err.println("scale: " + what.lines().findFirst().orElse("not possible"));
        return NOT_POSSIBLE;
    }

    /** A small part of each experiment. */
    @Command(
            name = "quick",
            mixinStandardHelpOptions = true,
            description = "A small run of the main experiments, within a minute")
    static final class Quick extends Experiment {
        @Override
        void measure() throws Exception {
            ModuleExperiment module = new ModuleExperiment();
            new CommandLine(module)
                    .parseArgs(
                            "--servers",
                            "10,100,500,2000",
                            "--customers",
                            "100,300,1000,3000",
                            "--seconds",
                            "5",
                            "--point-seconds",
                            "3");
            FleetExperiment fleet = new FleetExperiment();
            new CommandLine(fleet).parseArgs("--nodes", "2,4,8,16", "--seconds", "3");
            RampExperiment ramp = new RampExperiment();
            new CommandLine(ramp).parseArgs("--nodes", "2,4,6,8");
            for (Experiment part : List.of(module, fleet, ramp)) {
                part.measureWithin(this);
            }
        }
    }
}
