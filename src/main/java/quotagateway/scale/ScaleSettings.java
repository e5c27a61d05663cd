package quotagateway.scale;

import java.util.LinkedHashMap;
import java.util.Map;
import quotagateway.config.SettingsReader;
import quotagateway.policy.api.PolicySettings;

/** The settings of a run: of no deployment, with each effect, a plan with a quota, and the counter. */
public final class ScaleSettings {
    /** So many nodes share a customer. */
    public static final int SPREAD = 4;

    public static final String READ = "read";
    public static final String KEYED = "write";
    public static final String UNSAFE = "order";
    public static final String PLAN = "plan";
    /** What clients wait (ms), and a cold server's share of its capacity and time (ms) until it is warm. */
    public static final double DEADLINE = 2000;

    public static final double COLD_SHARE = 0.25;
    public static final double WARM_AFTER = 10_000;
    public static final double OVERLOAD_FACTOR = 3;
    public static final double OVERLOAD_FOR = 1000;
    public static final double DRAIN_GRACE = 250;
    public static final double COUNTER_TIMEOUT = 80;

    private ScaleSettings() {}

    /** The class for a number from 0 to 1: half reads, four in ten keyed, the rest not to be repeated. */
    static String type(double chance) {
        return chance < 0.5 ? READ : chance < 0.9 ? KEYED : UNSAFE;
    }

    /** By path, as the settings are told; a list's length is under .count. */
    public static Map<String, String> keys(int rank, int nodes, int zones) {
        Map<String, String> k = new LinkedHashMap<>();
        k.put("rank", "" + rank);
        k.put("group_size", "" + nodes);
        k.put("my_zone", EndpointInventory.zoneName(rank % zones));
        k.put("tick", "2");
        k.put("discovery", "pushed");
        k.put("family_info.shared_counter", "true");
        k.put("family_info.count_limit", "" + COUNTER_TIMEOUT);
        k.put("family_info.counter_price", "0.02");
        k.put("family_info.most_units", "1");
        k.put("limits.cancelling", "true");
        k.put("limits.retry_after", "true");
        k.put("limits.max_retry_after", "1000");
        k.put("limits.send_cap", "3");
        k.put("limits.keepalive", "15000");
        k.put("limits.connect_timeout", "250");
        k.put("contract.grace_to_answer", "16");
        k.put("contract.drain_grace", "" + DRAIN_GRACE);
        k.put("contract.cold_share", "" + COLD_SHARE);
        k.put("contract.warm_after", "" + WARM_AFTER);
        k.put("contract.overload_factor", "" + OVERLOAD_FACTOR);
        k.put("contract.overload_for", "" + OVERLOAD_FOR);
        type(k, 0, READ, "read_like", 500);
        type(k, 1, KEYED, "idempotency_key", 800);
        type(k, 2, UNSAFE, "non_idempotent", 1000);
        k.put("request_classes.count", "3");
        k.put("tariffs.0.name", PLAN);
        k.put("tariffs.0.per_second", "2000");
        k.put("tariffs.0.depth", "4000");
        k.put("tariffs.0.price", "1");
        k.put("tariffs.0.over_cost", "1");
        k.put("tariffs.count", "1");
        return k;
    }

    private static void type(Map<String, String> k, int i, String name, String effect, double aim) {
        String at = "request_classes." + i + ".";
        k.put(at + "name", name);
        k.put(at + "effect", effect);
        k.put(at + "group", "zone");
        k.put(at + "aim", "" + aim);
        k.put(at + "hard_limit", "" + DEADLINE);
        k.put(at + "worth", "1");
        k.put(at + "repeat_window", "5000");
    }

    /** The settings of one node; what is the same for all nodes is shared with the first one's. */
    static PolicySettings settings(PolicySettings first, int rank, int nodes, int zones) {
        if (first == null) {
            return SettingsReader.read(keys(rank, nodes, zones));
        }
        return new PolicySettings(
                rank,
                nodes,
                EndpointInventory.zoneName(rank % zones),
                first.tick(),
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
