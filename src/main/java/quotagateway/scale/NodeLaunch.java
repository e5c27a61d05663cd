package quotagateway.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** How a real edge node is started on the platform: the deploy file's run line, and what it is told. */
public final class NodeLaunch {
    /** What a node may have on the days that are scored. */
    public static final int MEMORY_MB = 192;

    /** The most sockets that a node may have, if nothing else is said. */
    public static final int SOCKETS = 1024;

    private static final Path DEPLOY = Path.of("deploy", "balancer.toml");
    private static final Pattern RUN = Pattern.compile("(?m)^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"");

    /** Where a node listens and whom it calls, each as host:port. */
    public record Addresses(String listen, String discovery, String counter) {}

    private NodeLaunch() {}

    /** The shell's command that ends in the node's process; root is the repository's folder, built. */
    public static List<String> command(Path root) throws IOException {
        return List.of("/bin/sh", "-c", "ulimit -n " + SOCKETS + "; " + runLine(root));
    }

    /** The deploy file's run line. */
    static String runLine(Path root) throws IOException {
        Path deploy = root.resolve(DEPLOY);
        if (!Files.isReadable(deploy)) {
            throw new RunNotPossibleException(
                    "no " + deploy + ": start it in the repository's folder, or name it with --root");
        }
        Matcher run = RUN.matcher(Files.readString(deploy));
        if (!run.find()) {
            throw new RunNotPossibleException("no run line in " + deploy);
        }
        return run.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
    }

    /** The configuration file's text; known is the list that the node had, as JSON, or null. */
    public static String configuration(String name, Addresses at, long seed, String known, Map<String, String> settings)
            throws IOException {
        return configuration(name, at, SOCKETS, seed, known, settings);
    }

    /** The same for a node that may have so many sockets. */
    public static String configuration(
            String name, Addresses at, int sockets, long seed, String known, Map<String, String> settings)
            throws IOException {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + at.listen + "\",\"discovery\":\"" + at.discovery
                + "\",\"seed\":\"" + Long.toHexString(seed) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                + MEMORY_MB + ",\"sockets\":" + sockets + "},\"counter\":\"" + at.counter + "\",\"known\":"
                + known + ",\"settings\":" + NestedJson.of(settings) + "}";
    }

    /** What the platform sets in the node's environment; discovery and counter stand in the file alone. */
    public static Map<String, String> environment(String name, Addresses at, Path config, Path temporary) {
        return Map.of(
                "EDGE_NAME",
                name,
                "EDGE_LISTEN",
                at.listen,
                "EDGE_CONFIG",
                config.toString(),
                "TMPDIR",
                temporary.toString());
    }

    /** Deletes a node's folder with all that is in it; nothing where there is none. */
    public static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
