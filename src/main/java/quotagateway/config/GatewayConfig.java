package quotagateway.config;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.StringJoiner;
import quotagateway.discovery.EndpointListParser;
import quotagateway.policy.api.PolicySettings;

/**
 * What this edge node is told at its start. The times are milliseconds; counter, control and known are null
 * where it is told none. The folder is the one place where it may write; servers is the length of the longest
 * list that its memory bears, see {@link EndpointListParser#most}.
 */
public record GatewayConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress counter,
        InetSocketAddress control,
        Path folder,
        long seed,
        int sockets,
        Known known,
        PolicySettings settings,
        double keepAlive,
        double connectTimeout,
        int servers) {

    /** Where the settings say nothing of connections. */
    private static final double KEEP_ALIVE = 15_000;

    private static final double CONNECT_TIMEOUT = 250;
    private static final int SOCKETS = 1024;
    /** MB, where no limit is told: what the deploy file's flags are for. */
    private static final double MEMORY = 192;

    /** The list known from before: read when it is wanted, as it may be too long to hold its text. */
    public interface Known {
        void read(EndpointListParser to) throws IOException;
    }

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
    public static GatewayConfig again(Map<String, String> env) throws IOException {
        Map<String, String> rest = new HashMap<>(env);
        rest.remove("EDGE_DISCOVERY");
        return fromEnvironment(rest);
    }

    public static GatewayConfig of(Json root, Map<String, String> env) {
        return of(root, env, to -> to.read(root.get("known")));
    }

    private static GatewayConfig of(Json root, Map<String, String> env, Known known) {
        Map<String, String> keys = new HashMap<>();
        flatten("", root.get("settings"), keys);
        double idle = SettingsReader.number(keys, "limits.keepalive");
        double connect = SettingsReader.number(keys, "limits.connect_timeout");
        String counter = root.get("counter").text("");
        String control = env.getOrDefault("EDGE_CONTROL", root.get("control").text(""));
        return new GatewayConfig(
                text(env, "EDGE_NAME", root, "name"),
                address(text(env, "EDGE_LISTEN", root, "listen")),
                address(text(env, "EDGE_DISCOVERY", root, "discovery")),
                counter.isEmpty() ? null : address(counter),
                control.isEmpty() ? null : address(control),
                Path.of(env.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"))),
                seed(root.get("seed").text("0")),
                (int) root.get("limits").get("sockets").number(SOCKETS),
                root.get("known").isNull() ? null : known,
                SettingsReader.read(keys),
                idle > 0 ? idle : KEEP_ALIVE,
                connect > 0 ? connect : CONNECT_TIMEOUT,
                EndpointListParser.most(root.get("limits").get("memory_mb").number(MEMORY)));
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

    /** Addresses are numbers: there is no DNS. */
    public static InetSocketAddress address(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new IllegalArgumentException("address:port expected, found '" + hostAndPort + "'");
        }
    }

    /** An address in one number, IPv4 before the port: 200,000 of them are kept. */
    public static long dial(String hostAndPort) {
        InetSocketAddress at = address(hostAndPort);
        byte[] ip = at.isUnresolved() ? new byte[0] : at.getAddress().getAddress();
        if (ip.length != Integer.BYTES) {
            throw new IllegalArgumentException("an IPv4 address expected, found '" + hostAndPort + "'");
        }
        return Integer.toUnsignedLong(ByteBuffer.wrap(ip).getInt()) << Short.SIZE | at.getPort();
    }

    public static InetSocketAddress address(long dial) {
        try {
            byte[] ip = ByteBuffer.allocate(Integer.BYTES)
                    .putInt((int) (dial >>> Short.SIZE))
                    .array();
            return new InetSocketAddress(InetAddress.getByAddress(ip), (int) (dial & 0xffff));
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e); // four bytes are an address
        }
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
