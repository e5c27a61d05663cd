package quotagateway.scale;

import java.util.LinkedHashMap;
import java.util.Map;
import quotagateway.config.SettingsReader;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicySettings;

/**
 * The settings that every node of a run is given: no real deployment's, but with a request class of each idempotency,
 * one plan with a quota, and the shared counter.
 */
public final class ScaleSettings {
    /** How many gateways share the traffic of one customer. */
    public static final int GATEWAYS_PER_CUSTOMER = 4;

    public static final String READ = "read";
    public static final String KEYED = "write";
    public static final String ONCE = "order";
    public static final String PLAN = "plan";
    /** How long clients wait for a response (ms). */
    public static final double DEADLINE_MS = 2000;

    /** The part of its capacity that an endpoint has when it starts. */
    public static final double SLOW_START_INITIAL_SHARE = 0.25;
    /** When an endpoint has all of its capacity (ms after its start). */
    public static final double SLOW_START_DURATION_MS = 10_000;

    public static final double OVERLOAD_FACTOR = 3;
    public static final double OVERLOAD_WINDOW_MS = 1000;
    public static final double DRAIN_GRACE_MS = 250;
    public static final double COUNTER_TIMEOUT_MS = 80;

    private ScaleSettings() {}

    /** The class of a request, drawn by a number from 0 to 1: half reads, four in ten keyed, the rest without retry. */
    static String requestClass(double chance) {
        return chance < 0.5 ? READ : chance < 0.9 ? KEYED : ONCE;
    }

    /** A first request of one unit on {@link #PLAN}. */
    static IncomingRequest request(long id, String requestClass, String customer, int gatewayCount, int firstGateway) {
        return new IncomingRequest(id, requestClass, PLAN, customer, DEADLINE_MS, 1, gatewayCount, firstGateway, false);
    }

    /** The settings of a node by path, as a configuration has them; the length of a list is under {@code .count}. */
    public static Map<String, String> keys(int nodeIndex, int nodes, int zones) {
        Map<String, String> keys = new LinkedHashMap<>();
        keys.put("rank", "" + nodeIndex);
        keys.put("group_size", "" + nodes);
        keys.put("my_zone", EndpointInventory.zoneName(nodeIndex % zones));
        keys.put("tick", "2");
        keys.put("discovery", "pushed");
        keys.put("family_info.shared_counter", "true");
        keys.put("family_info.count_limit", "" + COUNTER_TIMEOUT_MS);
        keys.put("family_info.counter_price", "0.02");
        keys.put("family_info.most_units", "1");
        keys.put("limits.cancelling", "true");
        keys.put("limits.retry_after", "true");
        keys.put("limits.max_retry_after", "1000");
        keys.put("limits.send_cap", "3");
        keys.put("limits.keepalive", "15000");
        keys.put("limits.connect_timeout", "250");
        keys.put("contract.grace_to_answer", "16");
        keys.put("contract.drain_grace", "" + DRAIN_GRACE_MS);
        keys.put("contract.cold_share", "" + SLOW_START_INITIAL_SHARE);
        keys.put("contract.warm_after", "" + SLOW_START_DURATION_MS);
        keys.put("contract.overload_factor", "" + OVERLOAD_FACTOR);
        keys.put("contract.overload_for", "" + OVERLOAD_WINDOW_MS);
        putRequestClass(keys, 0, READ, "read_like", 500);
        putRequestClass(keys, 1, KEYED, "idempotency_key", 800);
        putRequestClass(keys, 2, ONCE, "non_idempotent", 1000);
        keys.put("request_classes.count", "3");
        keys.put("tariffs.0.name", PLAN);
        keys.put("tariffs.0.per_second", "2000");
        keys.put("tariffs.0.depth", "4000");
        keys.put("tariffs.0.price", "1");
        keys.put("tariffs.0.over_cost", "1");
        keys.put("tariffs.count", "1");
        return keys;
    }

    private static void putRequestClass(
            Map<String, String> keys, int index, String name, String effect, double latencyObjectiveMs) {
        String path = "request_classes." + index + ".";
        keys.put(path + "name", name);
        keys.put(path + "effect", effect);
        keys.put(path + "group", "zone");
        keys.put(path + "aim", "" + latencyObjectiveMs);
        keys.put(path + "hard_limit", "" + DEADLINE_MS);
        keys.put(path + "worth", "1");
        keys.put(path + "repeat_window", "5000");
    }

    /**
     * The settings of one node as the policy takes them.
     *
     * @param first settings of another node of the fleet, whose common parts are shared, or null to read all of them
     */
    static PolicySettings settings(PolicySettings first, int nodeIndex, int nodes, int zones) {
        if (first == null) {
            return SettingsReader.read(keys(nodeIndex, nodes, zones));
        }
        return new PolicySettings(
                nodeIndex,
                nodes,
                EndpointInventory.zoneName(nodeIndex % zones),
                first.timerResolutionMs(),
                first.mustSubscribe(),
                first.reportsActualUnits(),
                first.maxUnits(),
                first.loadFields(),
                first.requestClasses(),
                first.plans(),
                first.capabilities(),
                first.rules(),
                first.costs());
    }
}
