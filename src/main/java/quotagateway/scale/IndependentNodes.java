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
    private static final double SETTLE_MS = 3000;

    private static final double STEP_MS = 100;

    private final FleetOptions options;
    private final int size;
    private final long seed;
    private final int seconds;
    private final EndpointInventory inventory;
    private final List<EndpointDescriptor> completeList;
    private final PolicySettings sharedSettings;
    final AtomicLongArray connectionsPerEndpoint;
    final AtomicLongArray requestsPerEndpoint;
    final long[] connectionsPerNode;
    private final AtomicInteger nodesDone = new AtomicInteger();

    IndependentNodes(FleetOptions shape, int size, long seed, int seconds) {
        this.options = shape;
        this.size = size;
        this.seed = seed;
        this.seconds = seconds;
        inventory = new EndpointInventory(shape.endpointCount(size), shape.zones);
        completeList = inventory.completeList();
        sharedSettings = ScaleSettings.settings(null, 0, size, shape.zones);
        connectionsPerEndpoint = new AtomicLongArray(inventory.size());
        requestsPerEndpoint = new AtomicLongArray(inventory.size());
        connectionsPerNode = new long[size];
    }

    /** Runs all nodes on so many threads; between is called meanwhile, and ends the run by throwing. */
    void run(int threads, Runnable between) throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<?>> all = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                int rank = i;
                all.add(pool.submit(() -> simulateNode(rank)));
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
        return nodesDone.get() + " of " + size + " nodes, " + inventory.size() + " servers";
    }

    long[] connectionsPerEndpoint() {
        return values(connectionsPerEndpoint);
    }

    long[] requestsPerEndpoint() {
        return values(requestsPerEndpoint);
    }

    private static long[] values(AtomicLongArray of) {
        long[] values = new long[of.length()];
        for (int i = 0; i < values.length; i++) {
            values[i] = of.get(i);
        }
        return values;
    }

    private void simulateNode(int rank) {
        VirtualClock clock = new VirtualClock(SimulatedFleet.START_MS);
        SplittableRandom random = new SplittableRandom(seed * 0x9e3779b97f4a7c15L + rank);
        Map<Long, Double> totals = new HashMap<>();
        boolean[] measured = new boolean[1];
        SimulatedNode.Peers peers = new SimulatedNode.Peers() {
            @Override
            public void sendAttempt(SimulatedNode node, SimulatedNode.Attempt a) {
                if (measured[0]) {
                    requestsPerEndpoint.incrementAndGet(a.endpoint);
                }
                clock.schedule(
                        -options.serviceMs * Math.log(1 - random.nextDouble()),
                        () -> node.onAttemptEnded(a, CallOutcome.OK));
            }

            @Override
            public void addToCounter(SimulatedNode node, long name, double amount) {
                double total = totals.merge(name, amount, Double::sum);
                int life = node.processNumber();
                clock.schedule(
                        options.counterRoundTripMs,
                        () -> node.onCounterReply(life, name, CallOutcome.OK, options.counterRoundTripMs, total));
            }
        };
        SimulatedNode node = new SimulatedNode(
                ScaleSettings.settings(sharedSettings, rank, size, options.zones), clock, peers, new Histogram(3));
        node.start(random.nextLong());
        node.onEndpoints(completeList, true);
        CustomerPopulation customers = new CustomerPopulation(
                (int) Math.max(10, options.customersPerNode * ScaleSettings.GATEWAYS_PER_CUSTOMER),
                CustomerPopulation.SKEW);
        scheduleNextRequest(clock, random, node, customers, new long[1]);
        run(clock, SETTLE_MS);
        measured[0] = true;
        run(clock, seconds * 1000.0);
        node.retainedEndpoints().stream().forEach(connectionsPerEndpoint::incrementAndGet);
        connectionsPerNode[rank] = node.retainedEndpoints().cardinality();
        nodesDone.incrementAndGet();
    }

    private static void run(VirtualClock clock, double milliseconds) {
        for (double left = milliseconds; left > 0 && !Thread.currentThread().isInterrupted(); left -= STEP_MS) {
            clock.advanceTo(clock.now() + STEP_MS, () -> {});
        }
    }

    private void scheduleNextRequest(
            VirtualClock clock, SplittableRandom random, SimulatedNode node, CustomerPopulation customers, long[] ids) {
        clock.schedule(-1000 / options.requestsPerSecond * Math.log(1 - random.nextDouble()), () -> {
            scheduleNextRequest(clock, random, node, customers, ids);
            node.onRequest(new IncomingRequest(
                    ++ids[0],
                    ScaleSettings.requestClass(random.nextDouble()),
                    ScaleSettings.PLAN,
                    customers.name(customers.pick(random)),
                    ScaleSettings.DEADLINE_MS,
                    1,
                    Math.min(size, ScaleSettings.GATEWAYS_PER_CUSTOMER),
                    node.index,
                    false));
        });
    }
}
