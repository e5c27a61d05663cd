package quotagateway.scale;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import quotagateway.policy.api.EndpointState;

/** The decision module alone: what a request, a change of the list and its state cost. */
@Command(
        name = "module",
        mixinStandardHelpOptions = true,
        description = "CPU a request and a list change, and memory, of the module alone on a virtual clock")
final class ModuleExperiment extends Experiment {
    /** Memory is measured over so many entries at least: one small module is lost in the heap's noise. */
    private static final int MEMORY_ENTRIES = 20_000;

    private static final int MAX_POLICIES = 200;
    private static final int CHANGES = 200;
    /** Requests before the first point, so that all points are of compiled code. */
    private static final int WARM_UP_REQUESTS = 20_000;

    private static final double START = 1_700_000_000_000.0;
    private static final double STEP_MS = 1000;

    @Option(
            names = "--servers",
            split = ",",
            defaultValue = "10,200,2000,20000,200000",
            description = "servers listed, a point each (default ${DEFAULT-VALUE})")
    List<Integer> sizes;

    @Option(
            names = "--customers",
            split = ",",
            defaultValue = "300,1000,3000,30000",
            description = "customers, a point each (default ${DEFAULT-VALUE})")
    List<Integer> customers;

    @Option(names = "--rate", defaultValue = "183", description = "requests a second (default ${DEFAULT-VALUE})")
    double rate;

    @Option(
            names = "--nodes",
            defaultValue = "8200",
            description = "edge nodes of the fleet that the " + "module is told of (default ${DEFAULT-VALUE})")
    int nodes;

    @Option(names = "--zones", defaultValue = "18", description = "zones (default ${DEFAULT-VALUE})")
    int zones;

    @Option(
            names = "--service-ms",
            defaultValue = "30",
            description = "mean time of a server for a " + "request (default ${DEFAULT-VALUE})")
    double service;

    @Option(
            names = "--seconds",
            defaultValue = "30",
            description = "virtual seconds a point at most " + "(default ${DEFAULT-VALUE})")
    int seconds;

    @Option(
            names = "--point-seconds",
            defaultValue = "20",
            description = "real seconds of load a point, " + "about (default ${DEFAULT-VALUE})")
    int pointSeconds;

    /** One module with its load. */
    private final class Load {
        final VirtualClock clock = new VirtualClock(START);
        final CpuMeter meter = new CpuMeter();
        final CustomerPopulation customers;
        final SplittableRandom random = new SplittableRandom(seed);
        final UnloadedPeers peers = new UnloadedPeers(clock, random, service, 1, endpoint -> {});
        final SimulatedNode node;
        long requests;

        Load(int customerCount) {
            customers = new CustomerPopulation(customerCount, CustomerPopulation.SKEW);
            node = new SimulatedNode(ScaleSettings.settings(null, 0, nodes, zones), clock, peers, new Histogram(3));
            node.start(seed);
        }

        void next() {
            clock.schedule(-1000 / rate * Math.log(1 - random.nextDouble()), () -> {
                next();
                int customer = customers.pick(random);
                node.onRequest(ScaleSettings.request(
                        ++requests,
                        ScaleSettings.requestClass(random.nextDouble()),
                        customers.name(customer),
                        Math.min(nodes, ScaleSettings.GATEWAYS_PER_CUSTOMER),
                        0));
            });
        }

        /** Load for so long (virtual ms), or about so many real seconds. */
        void run(double virtual, double real) {
            long end = System.nanoTime() + (long) (real * 1e9);
            for (double to = clock.now() + virtual; clock.now() < to && System.nanoTime() < end; ) {
                clock.advanceTo(Math.min(to, clock.now() + STEP_MS / 10), ModuleExperiment.this::checkTimeLimit);
            }
        }
    }

    @Override
    void measure() {
        requireAtLeast(sizes, 1, "--servers");
        requireAtLeast(customers, 1, "--customers");
        require(
                rate > 0 && nodes > 0 && zones > 0 && service > 0 && seconds > 0 && pointSeconds > 0,
                "--rate, --nodes, --zones, --service-ms, --seconds and --point-seconds have to be above 0");
        Load warm = new Load(customers.get(0));
        warm.node.onEndpoints(new EndpointInventory(sizes.get(0), zones).completeList(), true);
        warm.next();
        while (warm.requests < WARM_UP_REQUESTS) {
            warm.run(STEP_MS, 1);
        }
        int few = customers.get(0);
        for (int size : sizes) {
            showProgress(size + " servers");
            memory(size);
            cost(size, few, "listed_servers", size);
        }
        int usual = sizes.get(Math.min(1, sizes.size() - 1));
        for (int many : customers) {
            showProgress(many + " customers");
            customers(usual, many);
        }
    }

    private void cost(int size, int many, String x, int at) {
        Load load = new Load(many);
        EndpointInventory servers = new EndpointInventory(size, zones);
        load.node.onEndpoints(servers.completeList(), true);
        load.next();
        load.run(2 * STEP_MS, pointSeconds / 4.0);
        load.node.measureCpu(load.meter);
        long before = load.requests;
        double since = load.clock.now();
        long calls = load.node.counterCalls;
        load.run(seconds * STEP_MS, pointSeconds);
        double lasted = (load.clock.now() - since) / STEP_MS;
        results.add(
                "module.cpu_us_per_request",
                x,
                at,
                load.meter.takeMicros() / Math.max(1, load.requests - before),
                "us");
        results.add("module.counter_calls_per_s", x, at, (load.node.counterCalls - calls) / lasted, "1/s");
        changes(load, servers, x, at);
    }

    /** Servers begin to drain and come back, one a change. */
    private void changes(Load load, EndpointInventory servers, String x, int at) {
        load.meter.takeMicros();
        for (int i = 0; i < CHANGES; i++) {
            int server = load.random.nextInt(servers.size());
            for (EndpointState state : List.of(EndpointState.DRAINING, EndpointState.UP)) {
                load.node.onEndpoints(List.of(servers.descriptor(server, state, 0)), false);
            }
            checkTimeLimitNow();
        }
        results.add("module.cpu_us_per_list_change", x, at, load.meter.takeMicros() / CHANGES / 2, "us");
        load.node.onEndpoints(servers.completeList(), true);
        results.add("module.cpu_us_per_whole_list", x, at, load.meter.takeMicros(), "us");
    }

    /**
     * Each module has names of its own, as each node reads its own list. What is in use with them, less what
     * is in use without; the middle of three.
     */
    private void memory(int size) {
        int copies = Math.max(1, Math.min(MAX_POLICIES, MEMORY_ENTRIES / size));
        double[] measured = new double[3];
        for (int round = 0; round < measured.length; round++) {
            List<SimulatedNode> kept = new ArrayList<>();
            for (int i = 0; i < copies; i++) {
                Load load = new Load(1);
                load.node.onEndpoints(new EndpointInventory(size, zones).completeList(), true);
                kept.add(load.node);
            }
            long with;
            try {
                with = usedHeapBytes();
            } finally {
                Reference.reachabilityFence(kept);
            }
            kept.clear();
            measured[round] = (with - usedHeapBytes()) / (double) copies;
            checkTimeLimitNow();
        }
        Arrays.sort(measured);
        results.add("module.memory_bytes", "listed_servers", size, measured[1], "bytes");
    }

    private void customers(int size, int many) {
        cost(size, many, "customers", many);
        Load load = new Load(many);
        load.node.onEndpoints(new EndpointInventory(size, zones).completeList(), true);
        for (int i = 0; i < many; i++) { // all of them within the time that idle ones are kept
            load.clock.advanceTo(load.clock.now() + 10_000.0 / many, this::checkTimeLimit);
            load.node.onRequest(ScaleSettings.request(
                    i,
                    ScaleSettings.READ,
                    load.customers.name(i),
                    Math.min(nodes, ScaleSettings.GATEWAYS_PER_CUSTOMER),
                    0));
        }
        load.clock.advanceTo(load.clock.now() + 2 * ScaleSettings.DEADLINE_MS, this::checkTimeLimit);
        load.peers.forgetTotals();
        long with = usedHeapBytes();
        load.node.kill();
        results.add("module.memory_bytes", "customers", many, (double) (with - usedHeapBytes()), "bytes");
    }

    /** Heap in use after a collection. */
    private static long usedHeapBytes() {
        Runtime r = Runtime.getRuntime();
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 3; i++) {
            System.gc();
            least = Math.min(least, r.totalMemory() - r.freeMemory());
        }
        return least;
    }
}
