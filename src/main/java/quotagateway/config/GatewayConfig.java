package quotagateway.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.StringJoiner;
import quotagateway.policy.api.PolicySettings;
import quotagateway.transport.PackedAddress;

/**
 * What this edge node is told at its start. The times are milliseconds; counter, control and known are null
 * where it is told none. The folder is the one place where it may write; servers is the length of the longest
 * list that its memory bears, see {@link #most}.
 */
public record GatewayConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        InetSocketAddress counterAddress,
        InetSocketAddress adminAddress,
        Path stateDirectory,
        long seed,
        int maxSockets,
        CachedEndpointList cachedEndpoints,
        PolicySettings settings,
        double keepAliveMs,
        double connectTimeoutMs,
        int maxEndpoints) {

    /** Where the settings say nothing of connections. */
    private static final double KEEP_ALIVE = 15_000;

    private static final double CONNECT_TIMEOUT = 250;
    private static final int SOCKETS = 1024;
    /** MB, where no limit is told: what the deploy file's flags are for. */
    private static final double MEMORY = 192;

    /** What a node may spend on one server (bytes): of 192 MB a quarter of a million, of 32 some 42,000. */
    private static final int BYTES_A_SERVER = 800;

    /** Reads the file that EDGE_CONFIG names; the other variables win over it. */
    public static GatewayConfig fromEnvironment(Map<String, String> env) throws IOException {
        String file = env.get("EDGE_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new IllegalArgumentException("EDGE_CONFIG is not set");
        }
        Path path = Path.of(file);
        Json root = Json.without("known", path);
        return of(root, env, to -> Json.member("known", path, to::read));
    }

    /** The file as it is now, for a running edge node: the variables are those of its start. */
    public static GatewayConfig reload(Map<String, String> env) throws IOException {
        Map<String, String> rest = new HashMap<>(env);
        rest.remove("EDGE_DISCOVERY");
        return fromEnvironment(rest);
    }

    public static GatewayConfig of(Json root, Map<String, String> env) {
        return of(root, env, to -> to.read(root.get("known")));
    }

    private static GatewayConfig of(Json root, Map<String, String> env, CachedEndpointList known) {
        Map<String, String> keys = new HashMap<>();
        flatten("", root.get("settings"), keys);
        double idle = SettingsReader.number(keys, "limits.keepalive");
        double connect = SettingsReader.number(keys, "limits.connect_timeout");
        String counter = root.get("counter").text("");
        String control = env.getOrDefault("EDGE_CONTROL", root.get("control").text(""));
        return new GatewayConfig(
                text(env, "EDGE_NAME", root, "name"),
                PackedAddress.parse(text(env, "EDGE_LISTEN", root, "listen")),
                PackedAddress.parse(text(env, "EDGE_DISCOVERY", root, "discovery")),
                counter.isEmpty() ? null : PackedAddress.parse(counter),
                control.isEmpty() ? null : PackedAddress.parse(control),
                Path.of(env.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"))),
                seed(root.get("seed").text("0")),
                (int) root.get("limits").get("sockets").number(SOCKETS),
                root.get("known").isNull() ? null : known,
                SettingsReader.read(keys),
                idle > 0 ? idle : KEEP_ALIVE,
                connect > 0 ? connect : CONNECT_TIMEOUT,
                most(root.get("limits").get("memory_mb").number(MEMORY)));
    }

    private static String text(Map<String, String> env, String variable, Json root, String key) {
        String value = env.getOrDefault(variable, root.get(key).text(""));
        if (value.isEmpty()) {
            throw new IllegalArgumentException("neither " + variable + " nor '" + key + "' is set");
        }
        return value;
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            return hex.hashCode();
        }
    }

    /** How many servers a list may have where this is the limit of memory (MB). */
    private static int most(double memory) {
        return (int) Math.min(Integer.MAX_VALUE, memory * (1 << 20) / BYTES_A_SERVER);
    }

    /** The settings as the simulator's wire writes them: a path a value, lists of plain values by commas. */
    private static void flatten(String path, Json node, Map<String, String> keys) {
        String at = path.isEmpty() ? "" : path + ".";
        if (node.isObject()) {
            node.members().forEach((name, value) -> flatten(at + name, value, keys));
        } else if (node.elements().stream().anyMatch(v -> v.isObject() || v.isArray())) {
            keys.put(at + "count", Integer.toString(node.elements().size()));
            for (int i = 0; i < node.elements().size(); i++) {
                flatten(at + i, node.elements().get(i), keys);
            }
        } else if (node.isArray()) {
            StringJoiner values = new StringJoiner(",");
            node.elements().forEach(v -> values.add(v.text("")));
            keys.put(path, values.toString());
        } else if (!node.isNull()) {
            keys.put(path, node.text(""));
        }
    }
}
