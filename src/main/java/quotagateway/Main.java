package quotagateway;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import quotagateway.config.GatewayConfig;
import quotagateway.config.InvalidSettingException;
import quotagateway.node.GatewayNode;
import quotagateway.node.ReloadSignal;
import quotagateway.policy.Policy;
import quotagateway.simulator.MalformedInputException;
import quotagateway.simulator.SimulatorHost;
import quotagateway.startup.JitWarmup;
import quotagateway.startup.StartupRecording;
import quotagateway.startup.StartupTimeline;

/**
 * The command line of the gateway. It is parsed without a library: a parser library was measured at 0.19 s of CPU,
 * about half of a complete start, and there are only three commands, without options.
 */
public final class Main {
    /** Exit code if the simulator's input is malformed, or the gateway cannot start. */
    private static final int EXIT_FAILED = 1;
    /** Exit code if the command line or the configuration is wrong. */
    private static final int EXIT_USAGE = 2;

    private static final int INPUT_BUFFER_BYTES = 1 << 16;
    private static final String USAGE = "usage: quota-gateway serve | simulate | record-startup | --help | --version";
    private static final String HELP = USAGE + """


            serve           run one gateway, configured by the file that EDGE_CONFIG names
            simulate        make the same decisions for the simulator, on standard input and output
            record-startup  start and stop a gateway among stand-ins, to create the class archive

            SIGHUP makes a serving gateway reload the addresses of discovery and the counter;
            SIGTERM makes it respond to all accepted requests and exit.
            """;

    private static final ReloadSignal RELOAD_SIGNAL = new ReloadSignal();

    private Main() {}

    /** Runs one command; a wrong command line is reported in one line, with exit code 2. */
    public static void main(String[] args) throws IOException {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> serve();
            case "simulate" -> simulate();
            case "record-startup" -> recordStartup();
            case "--help" -> System.out.print(HELP);
            case "--version" -> System.out.println("quota-gateway " + version());
            default -> {
                System.err.println(USAGE);
                System.exit(EXIT_USAGE);
            }
        }
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "(not run from its jar)" : version;
    }

    private static void serve() throws IOException {
        RELOAD_SIGNAL.install(); // first, as a SIGHUP before this ends the process
        StartupTimeline.phaseEnded("JVM");
        startGateway(System.getenv());
    }

    /** Runs the same start among stand-ins; the JVM writes the class archive when the process exits. */
    private static void recordStartup() throws IOException {
        try (StartupRecording recording = new StartupRecording()) {
            RELOAD_SIGNAL.install();
            StartupTimeline.phaseEnded("JVM");
            GatewayNode node = startGateway(recording.environment());
            recording.sendSampleCalls(
                    (InetSocketAddress) node.listenAddress(), (InetSocketAddress) node.adminAddress());
            System.exit(0);
        }
    }

    private static void simulate() throws IOException {
        BufferedReader input =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), INPUT_BUFFER_BYTES);
        PrintStream output = new PrintStream(new FileOutputStream(FileDescriptor.out), false);
        try {
            new SimulatorHost().run(input, output);
        } catch (MalformedInputException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_FAILED);
        }
        output.flush();
    }

    private static GatewayNode startGateway(Map<String, String> environment) throws IOException {
        // First, as Netty would otherwise search every jar for three other logging libraries, which are not there.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        GatewayConfig config = readConfig(environment);
        StartupTimeline.phaseEnded("configuration");
        JitWarmup.run(config.settings(), Policy::new);
        StartupTimeline.phaseEnded("warm-up");
        GatewayNode node = new GatewayNode(config, Policy::new);
        // Both signals are handled before the node listens: a process that waits for that may send one immediately.
        Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
        RELOAD_SIGNAL.setAction(() -> node.reload(() -> GatewayConfig.reload(System.getenv())));
        try {
            node.start(StartupTimeline.elapsedMs());
        } catch (IOException e) {
            System.err.println("start: " + e.getMessage());
            Runtime.getRuntime().halt(EXIT_FAILED); // nothing was accepted, so there is nothing to drain
        }
        StartupTimeline.finish("bind");
        return node;
    }

    private static GatewayConfig readConfig(Map<String, String> environment) throws IOException {
        try {
            return GatewayConfig.fromEnvironment(environment);
        } catch (InvalidSettingException e) {
            System.err.println("configuration: " + e.describe());
            System.exit(EXIT_USAGE);
            throw e;
        }
    }
}
