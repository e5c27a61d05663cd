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
        ROLL(6),
        /** A node gets some SIGHUPs, then SIGTERM, at any distance, and perhaps one more SIGHUP. */
        SIGNALS(5),
        /** Discovery moves for all nodes of a proxy, and servers drain right behind. */
        DISCOVERY_MOVES(2),
        /** Discovery is away for a while, and servers drain right behind its return. */
        DISCOVERY_AWAY(1);

        final int weight;

        Kind(int weight) {
            this.weight = weight;
        }
    }

    /**
     * One fault.
     *
     * @param at when it begins (ms of the run)
     * @param duration how long it lasts (ms)
     * @param targets numbers of nodes, servers or proxies; of a proxy and then of servers where both have a part
     * @param seed of what is drawn while it goes on
     */
    record Fault(Kind kind, double at, double duration, List<Integer> targets, long seed) {
        /** The targets behind the first. */
        List<Integer> servers() {
            return targets.subList(1, targets.size());
        }
    }

    private static final double MIN_DURATION_MS = 300;
    private static final double MAX_DURATION_MS = 6000;
    private static final int MAX_PAUSE_MS = 150;
    /** Servers that drain behind a disturbance of discovery do so until no node may still not know of it. */
    private static final double LONG_DRAIN_MS = 9000;

    private static final double MAX_ENDPOINT_SHARE = 0.3;
    private static final double MAX_ROLLED_SHARE = 0.4;

    private FaultPlan() {}

    /** A plan of so many faults between two times, in their order. */
    static List<Fault> draw(
            SplittableRandom random, int count, double from, double to, int nodes, int servers, int proxies) {
        List<Fault> plan = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Kind kind = kind(random);
            double latest = drainsBehind(kind) ? (from + to) / 2 : to;
            double at = from + random.nextDouble() * (latest - from);
            List<Integer> targets = targets(random, kind, nodes, servers, proxies);
            plan.add(new Fault(kind, at, duration(random, kind, to - at), targets, random.nextLong()));
        }
        plan.sort(Comparator.comparingDouble(Fault::at));
        return plan;
    }

    private static boolean drainsBehind(Kind kind) {
        return kind == Kind.DISCOVERY_MOVES || kind == Kind.DISCOVERY_AWAY;
    }

    private static double duration(SplittableRandom random, Kind kind, double most) {
        if (drainsBehind(kind)) {
            return LONG_DRAIN_MS;
        }
        if (kind == Kind.PAUSE) {
            return 20 + random.nextInt(MAX_PAUSE_MS - 20);
        }
        return Math.min(most, MIN_DURATION_MS + random.nextDouble() * (MAX_DURATION_MS - MIN_DURATION_MS));
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
            case RESTART, KILL, UPGRADE, HANGUP, PAUSE, SIGNALS -> List.of(random.nextInt(nodes));
            case ROLL -> some(random, nodes, MAX_ROLLED_SHARE);
            case DISCOVERY_SILENT, DISCOVERY_HOLD, DISCOVERY_RESET, COUNTER_SILENT, COUNTER_HOLD, COUNTER_RESET ->
                List.of(random.nextInt(proxies));
            case DISCOVERY_MOVES, DISCOVERY_AWAY -> {
                List<Integer> proxyAndServers = new ArrayList<>(List.of(random.nextInt(proxies)));
                proxyAndServers.addAll(some(random, servers, MAX_ENDPOINT_SHARE));
                yield proxyAndServers;
            }
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
