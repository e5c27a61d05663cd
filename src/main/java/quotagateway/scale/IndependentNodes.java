package quotagateway.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import org.HdrHistogram.Histogram;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.PolicySettings;

/**
 * A fleet too large for one memory, simulated a node at a time: each node has the complete endpoint list, a load of its
 * own and {@link UnloadedPeers}. Connections and requests at each endpoint are summed over all nodes; beyond that nodes
 * have no effect on each other.
 */
final class IndependentNodes {
    /** By then a node has learnt the rates and chosen its subset of the endpoints (virtual ms). */
    private static final double SETTLE_MS = 3000;

    private static final double STEP_MS = 100;

    private final FleetOptions options;
    private final int size;
    private final long seed;
    private final int seconds;
    private final EndpointInventory inventory;
    private final List<EndpointDescriptor> completeList;
    private final PolicySettings sharedSettings;
    private final AtomicLongArray connectionsPerEndpoint;
    private final AtomicLongArray requestsPerEndpoint;
    final long[] connectionsPerNode;
    private final AtomicInteger nodesDone = new AtomicInteger();

    IndependentNodes(FleetOptions options, int size, long seed, int seconds) {
        this.options = options;
        this.size = size;
        this.seed = seed;
        this.seconds = seconds;
        inventory = new EndpointInventory(options.endpointCount(size), options.zones);
        completeList = inventory.completeList();
        sharedSettings = ScaleSettings.settings(null, 0, size, options.zones);
        connectionsPerEndpoint = new AtomicLongArray(inventory.size());
        requestsPerEndpoint = new AtomicLongArray(inventory.size());
        connectionsPerNode = new long[size];
    }

    /**
     * Runs all nodes.
     *
     * @param whileWaiting run about every second; ends the run by throwing
     */
    void run(int threads, Runnable whileWaiting) throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<?>> all = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                int index = i;
                all.add(pool.submit(() -> simulateNode(index)));
            }
            for (Future<?> each : all) {
                while (!each.isDone()) {
                    whileWaiting.run();
                    try {
                        each.get(1, TimeUnit.SECONDS);
                    } catch (TimeoutException e) {
                        // the time limit is checked again
                    }
                }
                each.get();
            }
        } finally {
            pool.shutdownNow();
        }
    }

    /** How far the run is, in words. */
    String progress() {
        return nodesDone.get() + " of " + size + " nodes, " + inventory.size() + " servers";
    }

    /** How many nodes keep connections to each endpoint. */
    long[] connectionsPerEndpoint() {
        return values(connectionsPerEndpoint);
    }

    /** Attempts that each endpoint got in the measured time. */
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

    private void simulateNode(int index) {
        NodeRun run = new NodeRun(index);
        run.start();
        run.advance(SETTLE_MS);
        run.measured = true;
        run.advance(seconds * 1000.0);
        BitSet retained = run.node.retainedEndpoints();
        retained.stream().forEach(connectionsPerEndpoint::incrementAndGet);
        connectionsPerNode[index] = retained.cardinality();
        nodesDone.incrementAndGet();
    }

    /** One node with a clock, peers and clients of its own. */
    private final class NodeRun {
        private final VirtualClock clock = new VirtualClock(SimulatedFleet.START_MS);
        private final SplittableRandom random;
        private final SimulatedNode node;
        private final CustomerPopulation customers = new CustomerPopulation(
                (int) Math.max(10, options.customersPerNode * ScaleSettings.GATEWAYS_PER_CUSTOMER),
                CustomerPopulation.SKEW);
        private boolean measured;
        private long requests;

        NodeRun(int index) {
            random = new SplittableRandom(seed * 0x9e3779b97f4a7c15L + index);
            UnloadedPeers peers =
                    new UnloadedPeers(clock, random, options.serviceMs, options.counterRoundTripMs, this::countAttempt);
            node = new SimulatedNode(
                    ScaleSettings.settings(sharedSettings, index, size, options.zones), clock, peers, new Histogram(3));
        }

        private void countAttempt(int endpoint) {
            if (measured) {
                requestsPerEndpoint.incrementAndGet(endpoint);
            }
        }

        void start() {
            node.start(random.nextLong());
            node.onEndpoints(completeList, true);
            scheduleNextRequest();
        }

        /** Moves the clock on in steps; an interrupt ends it. */
        void advance(double milliseconds) {
            for (double left = milliseconds; left > 0 && !Thread.currentThread().isInterrupted(); left -= STEP_MS) {
                clock.advanceTo(clock.now() + STEP_MS, () -> {});
            }
        }

        private void scheduleNextRequest() {
            clock.schedule(-1000 / options.requestsPerSecond * Math.log(1 - random.nextDouble()), () -> {
                scheduleNextRequest();
                node.onRequest(ScaleSettings.request(
                        ++requests,
                        ScaleSettings.requestClass(random.nextDouble()),
                        customers.name(customers.pick(random)),
                        Math.min(size, ScaleSettings.GATEWAYS_PER_CUSTOMER),
                        node.index));
            });
        }
    }
}
