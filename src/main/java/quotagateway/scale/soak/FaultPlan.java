package quotagateway.scale.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** The faults of a run, drawn from a seed: many at once, each with a time of its own. */
final class FaultPlan {
    /** What can happen; the weight is how often it is drawn. */
    enum Kind {
        RESTART(6),
        KILL(1),
        UPGRADE(1),
        HANGUP(2),
        PAUSE(5),
        SERVERS_HANG(4),
        SERVERS_FAIL(1),
        SERVERS_BUSY(1),
        SERVERS_RESET(2),
        SERVERS_HALF(1),
        SERVERS_SLOW(1),
        SERVERS_DOWN(2),
        SERVER_CONNECTIONS_RESET(2),
        SERVERS_DRAIN(3),
        DISCOVERY_SILENT(1),
        DISCOVERY_HOLD(1),
        DISCOVERY_RESET(1),
        COUNTER_SILENT(2),
        COUNTER_HOLD(1),
        COUNTER_RESET(1),
        /** Many nodes are told to end while many servers hang. */
        ROLL(6);

        final int weight;

        Kind(int weight) {
            this.weight = weight;
        }
    }

    /** One fault: when (ms of the run), for how long, and on which numbers of nodes, servers or proxies. */
    record Fault(Kind kind, double at, double duration, List<Integer> targets) {}

    private static final double MIN_DURATION_MS = 300;
    private static final double MAX_DURATION_MS = 6000;
    private static final int MAX_PAUSE_MS = 150;
    private static final double MAX_ENDPOINT_SHARE = 0.3;
    private static final double MAX_ROLLED_SHARE = 0.4;

    private FaultPlan() {}

    /** A plan of so many faults between two times, in their order. */
    static List<Fault> draw(
            SplittableRandom random, int count, double from, double to, int nodes, int servers, int proxies) {
        List<Fault> plan = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Kind kind = kind(random);
            double at = from + random.nextDouble() * (to - from);
            double duration = kind == Kind.PAUSE
                    ? 20 + random.nextInt(MAX_PAUSE_MS - 20)
                    : Math.min(to - at, MIN_DURATION_MS + random.nextDouble() * (MAX_DURATION_MS - MIN_DURATION_MS));
            plan.add(new Fault(kind, at, duration, targets(random, kind, nodes, servers, proxies)));
        }
        plan.sort(Comparator.comparingDouble(Fault::at));
        return plan;
    }

    private static Kind kind(SplittableRandom random) {
        int sum = 0;
        for (Kind kind : Kind.values()) {
            sum += kind.weight;
        }
        int drawn = random.nextInt(sum);
        for (Kind kind : Kind.values()) {
            drawn -= kind.weight;
            if (drawn < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("weights");
    }

    private static List<Integer> targets(SplittableRandom random, Kind kind, int nodes, int servers, int proxies) {
        return switch (kind) {
            case RESTART, KILL, UPGRADE, HANGUP, PAUSE -> List.of(random.nextInt(nodes));
            case ROLL -> some(random, nodes, MAX_ROLLED_SHARE);
            case DISCOVERY_SILENT, DISCOVERY_HOLD, DISCOVERY_RESET, COUNTER_SILENT, COUNTER_HOLD, COUNTER_RESET ->
                List.of(random.nextInt(proxies));
            default -> some(random, servers, MAX_ENDPOINT_SHARE);
        };
    }

    /** One to a share of all. */
    private static List<Integer> some(SplittableRandom random, int all, double share) {
        int count = 1 + random.nextInt((int) Math.max(1, all * share));
        List<Integer> some = new ArrayList<>();
        while (some.size() < count) {
            int next = random.nextInt(all);
            if (!some.contains(next)) {
                some.add(next);
            }
        }
        return some;
    }
}
