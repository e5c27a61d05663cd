package quotagateway;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.BufferedReader;
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
 * The command line: {@code simulate} speaks the simulator's wire, {@code serve} is a real edge node, and
 * {@code record-startup} starts one at build time for the archive of classes.
 */
public final class Main {
    private static final ReloadSignal RELOAD_SIGNAL = new ReloadSignal();

    private Main() {}

    /** Runs the command and exits non-zero with one plain line where the input is malformed. */
    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("serve")) {
            RELOAD_SIGNAL.install(); // before all else: until then SIGHUP ends the process
            serve();
            return;
        }
        if (args.length == 1 && args[0].equals("record-startup")) {
            recordStartup();
            return;
        }
        if (args.length != 1 || !args[0].equals("simulate")) {
            System.err.println("usage: quota-gateway serve | simulate | record-startup");
            System.exit(2);
        }
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        PrintStream out = new PrintStream(new java.io.FileOutputStream(java.io.FileDescriptor.out), false);
        try {
            new SimulatorHost().run(in, out);
        } catch (MalformedInputException bad) {
            System.err.println(bad.getMessage());
            System.exit(1);
        }
        out.flush();
    }

    private static void serve() throws IOException {
        StartupTimeline.phaseEnded("JVM");
        begin(System.getenv());
    }

    /** The same start among stand-ins, and the same end. */
    private static void recordStartup() throws IOException {
        try (StartupRecording stage = new StartupRecording()) {
            RELOAD_SIGNAL.install();
            StartupTimeline.phaseEnded("JVM");
            GatewayNode node = begin(stage.environment());
            stage.ask((InetSocketAddress) node.listenAddress(), (InetSocketAddress) node.adminAddress());
            System.exit(0); // the archive is written at the exit, after the drain
        }
    }

    private static GatewayNode begin(Map<String, String> environment) throws IOException {
        // at once: else Netty looks through all jars for three other loggers that are not there
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        GatewayConfig config;
        try {
            config = GatewayConfig.fromEnvironment(environment);
        } catch (IllegalArgumentException | InvalidSettingException bad) {
            System.err.println("configuration: " + bad.getMessage());
            System.exit(2);
            return null;
        }
        StartupTimeline.phaseEnded("configuration");
        JitWarmup.run(config.settings(), Policy::new);
        StartupTimeline.phaseEnded("warm-up");
        GatewayNode node = new GatewayNode(config, Policy::new);
        Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain")); // SIGTERM may cross the bind
        // before the bind: who sees the node come up may send the signal in that moment
        RELOAD_SIGNAL.setAction(() -> node.reload(() -> GatewayConfig.reload(System.getenv())));
        try {
            node.start(StartupTimeline.elapsedMs());
        } catch (IOException bad) {
            System.err.println("start: " + bad.getMessage());
            Runtime.getRuntime().halt(1); // nothing was taken: there is nothing to drain
        }
        StartupTimeline.log("bind");
        return node;
    }
}
