package quotagateway.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import org.HdrHistogram.Histogram;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicySettings;

/**
 * A fleet too large for one memory, one hollow node after another: each sees the whole list and load of its
 * own, and servers that answer without a queue. What lies on a server is summed over all; nodes don't meet.
 */
final class IndependentNodes {
    /** Rates are learnt, and a node has its set, by then (virtual ms). */
    private static final double SETTLED = 3000;

    private static final double STEP = 100;

    private final FleetOptions shape;
    private final int size;
    private final long seed;
    private final int seconds;
    private final EndpointInventory servers;
    private final List<EndpointDescriptor> whole;
    private final PolicySettings first;
    final AtomicLongArray connections;
    final AtomicLongArray load;
    final long[] kept;
    private final AtomicInteger done = new AtomicInteger();

    IndependentNodes(FleetOptions shape, int size, long seed, int seconds) {
        this.shape = shape;
        this.size = size;
        this.seed = seed;
        this.seconds = seconds;
        servers = new EndpointInventory(shape.servers(size), shape.zones);
        whole = servers.whole();
        first = ScaleSettings.settings(null, 0, size, shape.zones);
        connections = new AtomicLongArray(servers.size());
        load = new AtomicLongArray(servers.size());
        kept = new long[size];
    }

    /** Runs all nodes on so many threads; between is called meanwhile, and ends the run by throwing. */
    void run(int threads, Runnable between) throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<?>> all = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                int rank = i;
                all.add(pool.submit(() -> one(rank)));
            }
            for (Future<?> each : all) {
                while (!each.isDone()) {
                    between.run();
                    try {
                        each.get(1, TimeUnit.SECONDS);
                    } catch (TimeoutException e) {
                        // asked again
                    }
                }
                each.get();
            }
        } finally {
            pool.shutdownNow();
        }
    }

    String progress() {
        return done.get() + " of " + size + " nodes, " + servers.size() + " servers";
    }

    long[] connections() {
        return values(connections);
    }

    long[] load() {
        return values(load);
    }

    private static long[] values(AtomicLongArray of) {
        long[] values = new long[of.length()];
        for (int i = 0; i < values.length; i++) {
            values[i] = of.get(i);
        }
        return values;
    }

    private void one(int rank) {
        VirtualClock clock = new VirtualClock(SimulatedFleet.START);
        SplittableRandom random = new SplittableRandom(seed * 0x9e3779b97f4a7c15L + rank);
        Map<Long, Double> totals = new HashMap<>();
        boolean[] measured = new boolean[1];
        SimulatedNode.Peers peers = new SimulatedNode.Peers() {
            @Override
            public void attempt(SimulatedNode node, SimulatedNode.Attempt a) {
                if (measured[0]) {
                    load.incrementAndGet(a.server);
                }
                clock.after(-shape.service * Math.log(1 - random.nextDouble()), () -> node.ended(a, CallOutcome.OK));
            }

            @Override
            public void count(SimulatedNode node, long name, double amount) {
                double total = totals.merge(name, amount, Double::sum);
                int life = node.life();
                clock.after(shape.counterWay, () -> node.counted(life, name, CallOutcome.OK, shape.counterWay, total));
            }
        };
        SimulatedNode node = new SimulatedNode(
                ScaleSettings.settings(first, rank, size, shape.zones), clock, peers, new Histogram(3));
        node.start(random.nextLong());
        node.servers(whole, true);
        CustomerPopulation customers = new CustomerPopulation(
                (int) Math.max(10, shape.customersPerNode * ScaleSettings.SPREAD), CustomerPopulation.SKEW);
        next(clock, random, node, customers, new long[1]);
        run(clock, SETTLED);
        measured[0] = true;
        run(clock, seconds * 1000.0);
        node.kept().stream().forEach(connections::incrementAndGet);
        kept[rank] = node.kept().cardinality();
        done.incrementAndGet();
    }

    private static void run(VirtualClock clock, double milliseconds) {
        for (double left = milliseconds; left > 0 && !Thread.currentThread().isInterrupted(); left -= STEP) {
            clock.to(clock.now() + STEP, () -> {});
        }
    }

    private void next(
            VirtualClock clock, SplittableRandom random, SimulatedNode node, CustomerPopulation customers, long[] ids) {
        clock.after(-1000 / shape.rate * Math.log(1 - random.nextDouble()), () -> {
            next(clock, random, node, customers, ids);
            node.arrive(new IncomingRequest(
                    ++ids[0],
                    ScaleSettings.type(random.nextDouble()),
                    ScaleSettings.PLAN,
                    customers.name(customers.pick(random)),
                    ScaleSettings.DEADLINE,
                    1,
                    Math.min(size, ScaleSettings.SPREAD),
                    node.rank,
                    false));
        });
    }
}
