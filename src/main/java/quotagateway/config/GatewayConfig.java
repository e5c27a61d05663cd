package quotagateway.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import quotagateway.policy.api.PolicySettings;
import quotagateway.transport.PackedAddress;

/**
 * The configuration of a gateway, read from the file that {@code EDGE_CONFIG} names and from further environment
 * variables, which take precedence.
 *
 * @param name the gateway's name, the same after a restart
 * @param listenAddress where clients connect
 * @param discoveryAddress where endpoint lists come from
 * @param counterAddress the shared counter, null where there is none
 * @param adminAddress where the admin endpoint listens, null where there is none
 * @param stateDirectory the one directory that the process may write to
 * @param seed of all random draws, new with each start
 * @param maxSockets file descriptors that the process may hold
 * @param cachedEndpoints the endpoint list of an earlier process, null where there is none
 * @param settings what the policy is told
 * @param keepAliveMs how long an endpoint keeps an idle connection
 * @param connectTimeoutMs how long a connection to an endpoint may take to come up
 * @param maxMemoryBytes memory that the process may take, together with another version that it replaces
 * @param maxEndpoints the longest endpoint list that the memory limit bears
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
        long maxMemoryBytes,
        int maxEndpoints) {
    private static final String CONFIG_FILE_VARIABLE = "EDGE_CONFIG";
    private static final String NAME_VARIABLE = "EDGE_NAME";
    private static final String LISTEN_VARIABLE = "EDGE_LISTEN";
    private static final String DISCOVERY_VARIABLE = "EDGE_DISCOVERY";
    private static final String ADMIN_VARIABLE = "EDGE_CONTROL";
    /** The member with the cached endpoint list: read when wanted, as it may be too long to hold in memory. */
    private static final String CACHED_ENDPOINTS = "known";

    /** Where the settings say nothing of connections. */
    private static final double DEFAULT_KEEP_ALIVE_MS = 15_000;

    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
    /** Where no limits are configured: what the flags of the deploy file are made for. */
    private static final int DEFAULT_SOCKETS = 1024;

    private static final double DEFAULT_MEMORY_MB = 192;
    private static final int BYTES_PER_MB = 1 << 20;
    /** Memory that one listed endpoint may cost: 192 MB bear a quarter of a million, 32 MB some 42,000. */
    private static final int BYTES_PER_ENDPOINT = 800;

    /**
     * Reads the configuration that an environment names.
     *
     * @throws IOException where the file cannot be read or is no JSON
     * @throws InvalidSettingException where a value is missing or cannot be understood
     */
    public static GatewayConfig fromEnvironment(Map<String, String> environment) throws IOException {
        String file = environment.getOrDefault(CONFIG_FILE_VARIABLE, "");
        if (file.isEmpty()) {
            throw new InvalidSettingException(CONFIG_FILE_VARIABLE, "not set");
        }
        Path path = Path.of(file);
        Json root = Json.without(CACHED_ENDPOINTS, path);
        return of(root, environment, reader -> Json.member(CACHED_ENDPOINTS, path, reader::read));
    }

    /**
     * Reads the configuration again while the gateway runs. The variables are those of its start, so the file's address
     * of discovery takes precedence now. Errors as with {@link #fromEnvironment}.
     */
    public static GatewayConfig reload(Map<String, String> environment) throws IOException {
        Map<String, String> remaining = new HashMap<>(environment);
        remaining.remove(DISCOVERY_VARIABLE);
        return fromEnvironment(remaining);
    }

    /** Reads a configuration that is in memory. Errors as with {@link #fromEnvironment}. */
    public static GatewayConfig of(Json root, Map<String, String> environment) {
        return of(root, environment, reader -> reader.read(root.get(CACHED_ENDPOINTS)));
    }

    private static GatewayConfig of(Json root, Map<String, String> environment, CachedEndpointList cachedEndpoints) {
        Map<String, String> values = SettingsFlattener.flatten(root.get("settings"));
        Json limits = root.get("limits");
        long maxMemoryBytes = (long) (limits.get("memory_mb").number(DEFAULT_MEMORY_MB) * BYTES_PER_MB);
        return new GatewayConfig(
                requiredText(environment, NAME_VARIABLE, root, "name"),
                address("listen", requiredText(environment, LISTEN_VARIABLE, root, "listen")),
                address("discovery", requiredText(environment, DISCOVERY_VARIABLE, root, "discovery")),
                optionalAddress("counter", root.get("counter").text("")),
                optionalAddress(
                        "control",
                        environment.getOrDefault(
                                ADMIN_VARIABLE, root.get("control").text(""))),
                Path.of(environment.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"))),
                seed(root.get("seed").text("0")),
                (int) limits.get("sockets").number(DEFAULT_SOCKETS),
                root.get(CACHED_ENDPOINTS).isNull() ? null : cachedEndpoints,
                SettingsReader.read(values),
                positiveOr(SettingsReader.number(values, "limits.keepalive"), DEFAULT_KEEP_ALIVE_MS),
                positiveOr(SettingsReader.number(values, "limits.connect_timeout"), DEFAULT_CONNECT_TIMEOUT_MS),
                maxMemoryBytes,
                maxEndpoints(maxMemoryBytes));
    }

    private static String requiredText(Map<String, String> environment, String variable, Json root, String member) {
        String value = environment.getOrDefault(variable, root.get(member).text(""));
        if (value.isEmpty()) {
            throw new InvalidSettingException(member, "neither " + variable + " nor '" + member + "' is set");
        }
        return value;
    }

    private static InetSocketAddress optionalAddress(String member, String value) {
        return value.isEmpty() ? null : address(member, value);
    }

    private static InetSocketAddress address(String member, String value) {
        try {
            return PackedAddress.parse(value);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingException(member, e.getMessage());
        }
    }

    private static double positiveOr(double value, double fallback) {
        return value > 0 ? value : fallback;
    }

    /** A seed in hexadecimal digits; any other text is a seed too. */
    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return text.hashCode();
        }
    }

    private static int maxEndpoints(long maxMemoryBytes) {
        return (int) Math.min(Integer.MAX_VALUE, maxMemoryBytes / BYTES_PER_ENDPOINT);
    }
}
