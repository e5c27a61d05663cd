package quotagateway.scale.soak;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import quotagateway.scale.CounterStandIn;
import quotagateway.scale.DiscoveryStandIn;
import quotagateway.scale.EndpointInventory;
import quotagateway.scale.ScaleSettings;
import quotagateway.scale.StandInLoops;

/** One run of the soak: real processes, clients, faults that overlap, and the oracle's verdict. */
final class SoakRun {
    /**
     * How large a run is.
     *
     * @param servers how many endpoints there are
     * @param seconds in which faults begin
     * @param rate requests a second at each node
     */
    record Size(int nodes, int servers, int seconds, double rate, double faultsPerSecond) {}

    private static final int PROXIES = 2;
    private static final double COUNTER_PER_SECOND = 20_000;
    /** Processes that are started at the same time at the beginning. */
    private static final int CONCURRENT_STARTS = 8;
    /** Time without faults before the first and after the last one. */
    private static final double QUIET_MS = 1000;

    private static final int FAULTS_END_WITHIN_SECONDS = 60;
    private static final int RESPONSES_END_WITHIN_MS = 8000;
    private final Path root;
    private final Path folder;
    private final Size size;
    private final EndpointInventory inventory;
    private final RunClock clock = new RunClock();
    private final LagMeter lag = new LagMeter(clock);
    private final ConcurrentLinkedQueue<Violation> faults = new ConcurrentLinkedQueue<>();
    private final List<AutoCloseable> closeAtEnd = new ArrayList<>();
    private final List<NodeSlot> nodes = new ArrayList<>();

    /**
     * A run that has not begun.
     *
     * @param root folder of the built repository
     * @param folder where the nodes' configurations and logs go
     */
    SoakRun(Path root, Path folder, Size size) {
        this.root = root;
        this.folder = folder;
        this.size = size;
        inventory = new EndpointInventory(size.servers, SoakSettings.zones());
    }

    /** Runs the soak once; all processes and listeners have ended when it returns. */
    SoakReport run(long seed) throws Exception {
        EventLoopGroup standIns = StandInLoops.singleThread();
        EventLoopGroup load = StandInLoops.singleThread();
        lag.measure(standIns);
        lag.measure(load);
        try {
            return run(seed, standIns, load);
        } finally {
            nodes.forEach(NodeSlot::close);
            for (AutoCloseable each : closeAtEnd) {
                each.close();
            }
            standIns.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await();
            load.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await();
        }
    }

    private SoakReport run(long seed, EventLoopGroup standIns, EventLoopGroup load) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        SoakSettings settings = new SoakSettings(size.nodes, random);
        FaultyEndpoints endpoints = closedAtEnd(new FaultyEndpoints(standIns, clock, size.servers));
        DiscoveryStandIn discovery = closedAtEnd(new DiscoveryStandIn(
                standIns,
                0,
                inventory,
                endpoints::addressOf,
                new DiscoveryStandIn.ListFormat(random.nextBoolean(), random.nextBoolean()),
                random.nextLong()));
        CounterStandIn counter = closedAtEnd(new CounterStandIn(standIns, 0, COUNTER_PER_SECOND, 1));
        List<FaultProxy> discoveryProxies = proxies(discovery.port());
        List<FaultProxy> counterProxies = proxies(counter.port());
        String knownList = new String(discovery.completeList(), StandardCharsets.US_ASCII);
        NodeSlot.Platform platform = new NodeSlot.Platform(
                clock, root, folder, settings, knownList, discoveryProxies, counterProxies, this::fault);
        for (int i = 0; i < size.nodes; i++) {
            nodes.add(new NodeSlot(i, platform, random.nextLong()));
        }
        forEachNode(CONCURRENT_STARTS, NodeSlot::start);
        ClientFleet clients = new ClientFleet(load, clock, settings, nodes, size.rate, random.nextLong());
        nodes.forEach(node -> node.whenTerminated(() -> clients.onNodeTerminated(node)));
        clients.start();
        IdleClients idleClients = new IdleClients(load, random.nextLong());
        idleClients.start(nodes, settings.idleClients());
        FaultInjector injector = new FaultInjector(new FaultInjector.Targets(
                clock, nodes, endpoints, discovery, discoveryProxies, counterProxies, this::fault));
        int faultCount = injectFaults(injector, random);
        idleClients.stop();
        finish(clients);
        return report(seed, settings, faultCount, endpoints, injector, clients.requests());
    }

    /** Injects all faults of the run and waits for their end; the number of faults. */
    private int injectFaults(FaultInjector injector, SplittableRandom random) throws InterruptedException {
        double from = clock.now() + QUIET_MS;
        double to = from + size.seconds * 1000.0;
        int count = (int) (size.seconds * size.faultsPerSecond);
        List<FaultPlan.Fault> plan = FaultPlan.draw(random, count, from, to, size.nodes, size.servers, PROXIES);
        injector.play(plan);
        if (!injector.awaitEnd(FAULTS_END_WITHIN_SECONDS)) {
            fault("harness", "a fault has not ended");
        }
        return plan.size();
    }

    /** Ends the load, waits for the last responses and shuts all nodes down. */
    private void finish(ClientFleet clients) throws Exception {
        Thread.sleep((long) QUIET_MS);
        clients.stop();
        double end = clock.now() + RESPONSES_END_WITHIN_MS;
        while (clients.isWaiting() && clock.now() < end) {
            Thread.sleep((long) QUIET_MS / 10);
        }
        forEachNode(size.nodes, NodeSlot::finish);
    }

    private <T extends AutoCloseable> T closedAtEnd(T one) {
        closeAtEnd.add(0, one);
        return one;
    }

    private List<FaultProxy> proxies(int port) throws IOException {
        List<FaultProxy> proxies = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            proxies.add(closedAtEnd(new FaultProxy(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))));
        }
        return proxies;
    }

    private void fault(String rule, String what) {
        faults.add(new Violation(rule, what));
    }

    /** Something to do with a node. */
    private interface NodeTask {
        void with(NodeSlot node) throws Exception;
    }

    private void forEachNode(int threads, NodeTask work) throws InterruptedException, ExecutionException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Callable<Void>> all = new ArrayList<>();
            for (NodeSlot node : nodes) {
                all.add(() -> {
                    work.with(node);
                    return null;
                });
            }
            for (Future<Void> done : pool.invokeAll(all)) {
                done.get();
            }
        } finally {
            pool.shutdownNow();
        }
    }

    private SoakReport report(
            long seed,
            SoakSettings settings,
            int faultCount,
            FaultyEndpoints endpoints,
            FaultInjector injector,
            List<ClientRequest> requests)
            throws IOException {
        Map<Integer, List<ProcessLifetime>> lifetimes = new HashMap<>();
        nodes.forEach(node -> lifetimes.put(node.number, node.lifetimes()));
        List<Violation> violations = new ArrayList<>(faults);
        ProcessChecks processChecks = new ProcessChecks(nodes);
        Oracle.Observations observations = new Oracle.Observations(
                requests,
                endpoints::executionsOf,
                lifetimes,
                injector.endpointChanges(),
                injector.discoveryFaults(),
                lag::lagAt);
        for (Violation found : Oracle.check(observations, inventory, ScaleSettings.DRAIN_GRACE_MS)) {
            violations.add(processChecks.withLog(found, requests));
        }
        violations.addAll(processChecks.check(lifetimes.values()));
        Map<ClientRequest.End, Integer> ends = new EnumMap<>(ClientRequest.End.class);
        requests.forEach(request -> ends.merge(request.end, 1, Integer::sum));
        return new SoakReport(
                seed,
                settings,
                size,
                faultCount,
                lifetimes.values().stream().mapToInt(List::size).sum(),
                ends,
                lag.longestStall(),
                violations);
    }
}
