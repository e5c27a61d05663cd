package quotagateway.scale.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import quotagateway.config.SettingsReader;
import quotagateway.policy.api.RequestClass;
import quotagateway.scale.NodeLaunch;
import quotagateway.scale.ScaleSettings;

/**
 * A deployment drawn from a seed: deadlines from half a second to four, windows shorter and longer than they
 * are, each kind of group, and a plan that clients press against. Times are milliseconds.
 */
public final class SoakSettings {
    /** A plan with little room beside the usual one. */
    static final String SMALL_PLAN = "small";

    private static final int ZONES = 3;
    private static final int MIN_DEADLINE_MS = 500;
    private static final int MAX_DEADLINE_MS = 4000;
    private static final double OBJECTIVE_SHARE = 0.5;
    private static final double MAX_COUNTED_DEADLINE_MS = 3000;
    private static final double KILL_AFTER_DEADLINE_MS = 700;
    /** In one run of so many a crowd of idle clients comes to each node. */
    private static final int RUNS_PER_CROWD = 4;
    /** Sockets that a node may have in a run with a crowd, which is larger. */
    private static final int SOCKETS_IN_A_CROWD = 256;

    private static final int CROWD = 300;

    private final int nodes;
    private final String retryScope;
    private final int[] deadlines = new int[3];
    private final int idempotencyWindow;
    private final boolean crowded;
    private final List<RequestClass> classes;

    SoakSettings(int nodes, SplittableRandom random) {
        this.nodes = nodes;
        retryScope = List.of("all", "zone", "cell").get(random.nextInt(3));
        boolean brief = random.nextInt(2) == 0;
        for (int i = 0; i < deadlines.length; i++) {
            deadlines[i] =
                    MIN_DEADLINE_MS + random.nextInt((brief ? MAX_DEADLINE_MS / 3 : MAX_DEADLINE_MS) - MIN_DEADLINE_MS);
        }
        idempotencyWindow = MIN_DEADLINE_MS / 2 + random.nextInt(2 * MAX_DEADLINE_MS);
        crowded = random.nextInt(RUNS_PER_CROWD) == 0;
        classes = SettingsReader.read(keys(0)).requestClasses();
    }

    int nodes() {
        return nodes;
    }

    static int zones() {
        return ZONES;
    }

    /** Sockets that a node may have. */
    int sockets() {
        return crowded ? SOCKETS_IN_A_CROWD : NodeLaunch.SOCKETS;
    }

    /** Idle clients that come to each node. */
    int idleClients() {
        return crowded ? CROWD : 0;
    }

    /** The settings of the node with this number, by path. */
    Map<String, String> keys(int node) {
        Map<String, String> keys = ScaleSettings.keys(node, nodes, ZONES);
        for (int i = 0; i < deadlines.length; i++) {
            String at = "request_classes." + i + ".";
            keys.put(at + "hard_limit", Integer.toString(deadlines[i]));
            keys.put(at + "aim", Long.toString(Math.round(deadlines[i] * OBJECTIVE_SHARE)));
            keys.put(at + "group", retryScope);
            keys.put(at + "repeat_window", Integer.toString(idempotencyWindow));
        }
        keys.put("tariffs.1.name", SMALL_PLAN);
        keys.put("tariffs.1.per_second", "5");
        keys.put("tariffs.1.depth", "5");
        keys.put("tariffs.1.price", "1");
        keys.put("tariffs.1.over_cost", "1");
        keys.put("tariffs.count", "2");
        return keys;
    }

    /** The classes, as a node reads them. */
    List<RequestClass> classes() {
        return classes;
    }

    /** After SIGTERM, how soon SIGKILL may come: the longest deadline, 3 s at most, and 0.7 s. */
    double earliestKillMs() {
        double longest = 0;
        for (int deadline : deadlines) {
            longest = Math.max(longest, deadline);
        }
        return Math.min(longest, MAX_COUNTED_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS;
    }

    /** For a report's head. */
    @Override
    public String toString() {
        List<String> deadlineTexts = new ArrayList<>();
        for (int deadline : deadlines) {
            deadlineTexts.add(Integer.toString(deadline));
        }
        return "deadlines " + String.join("/", deadlineTexts) + ", window " + idempotencyWindow + ", group "
                + retryScope + (crowded ? ", a crowd of idle clients" : "");
    }
}
