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
import java.util.regex.Pattern;
import quotagateway.scale.CounterStandIn;
import quotagateway.scale.DiscoveryStandIn;
import quotagateway.scale.EndpointInventory;
import quotagateway.scale.ScaleSettings;
import quotagateway.scale.StandInLoops;

/** One run of the soak: real processes, clients, faults that overlap, and the oracle's verdict. */
final class SoakRun {
    /** What a run is of. */
    record Size(int nodes, int servers, int seconds, double rate, double faultsPerSecond) {}

    /** What came of a run. */
    record Report(
            long seed,
            SoakSettings settings,
            Size size,
            int faults,
            int processes,
            Map<ClientRequest.End, Integer> ends,
            double longestLag,
            List<Violation> violations) {
        @Override
        public String toString() {
            return "seed " + seed + ": " + size.nodes + " nodes, " + processes + " processes, "
                    + size.servers + " servers, " + faults + " faults, " + settings + "; requests " + ends
                    + "; own lag at most " + Math.round(longestLag) + " ms; violations " + violations.size();
        }
    }

    private static final int PROXIES = 2;
    private static final double COUNTER_PER_SECOND = 20_000;
    /** Processes that are started at the same time at first. */
    private static final int CONCURRENT_STARTS = 8;
    /** Before the first fault, and behind the last one's end (ms). */
    private static final double QUIET_MS = 1000;

    private static final int FAULTS_END_WITHIN_SECONDS = 60;
    private static final int RESPONSES_END_WITHIN_MS = 8000;
    /** A restarted process is ready within this (ms), nine times in ten. */
    private static final double READY_SOON_MS = 10_000;

    private static final int LOG_LINES = 20;
    /** What a node writes of exceptions of its own; those at place servers' answers are the servers'. */
    private static final Pattern INTERNAL_EXCEPTION = Pattern.compile("(event|module|client connection): .*");

    private final Path root;
    private final Path folder;
    private final Size size;
    private final RunClock clock = new RunClock();
    private final LagMeter lag = new LagMeter(clock);
    private final ConcurrentLinkedQueue<Violation> faults = new ConcurrentLinkedQueue<>();
    private final List<AutoCloseable> closeAtEnd = new ArrayList<>();
    private final List<NodeSlot> nodes = new ArrayList<>();

    /** Root is the repository's folder, built; logs and configurations go to the other one. */
    SoakRun(Path root, Path folder, Size size) {
        this.root = root;
        this.folder = folder;
        this.size = size;
    }

    Report run(long seed) throws Exception {
        EventLoopGroup standIns = StandInLoops.one();
        EventLoopGroup load = StandInLoops.one();
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

    private Report run(long seed, EventLoopGroup standIns, EventLoopGroup load) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        SoakSettings settings = new SoakSettings(size.nodes, random);
        EndpointInventory names = new EndpointInventory(size.servers, SoakSettings.zones());
        FaultyEndpoints servers = closedAtEnd(new FaultyEndpoints(standIns, clock, size.servers));
        DiscoveryStandIn agent = closedAtEnd(new DiscoveryStandIn(
                standIns,
                0,
                names,
                servers::addressOf,
                new DiscoveryStandIn.ListFormat(random.nextBoolean(), random.nextBoolean()),
                random.nextLong()));
        CounterStandIn counter = closedAtEnd(new CounterStandIn(standIns, 0, COUNTER_PER_SECOND, 1));
        List<FaultProxy> discoveryProxies = proxies(agent.port());
        List<FaultProxy> counterProxies = proxies(counter.port());
        NodeSlot.Platform platform = new NodeSlot.Platform(
                clock,
                root,
                folder,
                settings,
                new String(agent.whole(), StandardCharsets.US_ASCII),
                discoveryProxies,
                counterProxies,
                this::fault);
        for (int i = 0; i < size.nodes; i++) {
            nodes.add(new NodeSlot(i, platform, random.nextLong()));
        }
        forEachNode(CONCURRENT_STARTS, NodeSlot::start);
        ClientFleet clients = new ClientFleet(load, clock, settings, nodes, size.rate, random.nextLong());
        nodes.forEach(node -> node.whenTerminated(() -> clients.onNodeTerminated(node)));
        clients.start();
        double from = clock.now() + QUIET_MS;
        double to = from + size.seconds * 1000.0;
        List<FaultPlan.Fault> plan = FaultPlan.draw(
                random, (int) (size.seconds * size.faultsPerSecond), from, to, size.nodes, size.servers, PROXIES);
        FaultInjector injector = new FaultInjector(
                new FaultInjector.Targets(clock, nodes, servers, agent, discoveryProxies, counterProxies, this::fault));
        injector.play(plan);
        if (!injector.awaitEnd(FAULTS_END_WITHIN_SECONDS)) {
            fault("harness", "a fault has not ended");
        }
        Thread.sleep((long) QUIET_MS);
        clients.stop();
        double end = clock.now() + RESPONSES_END_WITHIN_MS;
        while (clients.isWaiting() && clock.now() < end) {
            Thread.sleep((long) QUIET_MS / 10);
        }
        forEachNode(size.nodes, NodeSlot::finish);
        return report(seed, settings, plan.size(), names, servers, injector, clients.requests());
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

    private Report report(
            long seed,
            SoakSettings settings,
            int faultCount,
            EndpointInventory names,
            FaultyEndpoints servers,
            FaultInjector injector,
            List<ClientRequest> requests)
            throws IOException {
        Map<Integer, List<ProcessLifetime>> lives = new HashMap<>();
        nodes.forEach(node -> lives.put(node.number, node.lifetimes()));
        List<Violation> violations = new ArrayList<>(faults);
        for (Violation found : Oracle.check(
                new Oracle.Observations(
                        requests,
                        servers::executionsOf,
                        lives,
                        injector.endpointChanges(),
                        injector.discoveryFaults(),
                        lag::lagAt),
                names,
                ScaleSettings.DRAIN_GRACE_MS)) {
            violations.add(withLog(found, requests));
        }
        violations.addAll(checkProcesses(lives));
        Map<ClientRequest.End, Integer> ends = new EnumMap<>(ClientRequest.End.class);
        requests.forEach(r -> ends.merge(r.end, 1, Integer::sum));
        return new Report(
                seed,
                settings,
                size,
                faultCount,
                lives.values().stream().mapToInt(List::size).sum(),
                ends,
                lag.longestStall(),
                violations);
    }

    /** What the node wrote of the request that a violation names. */
    private Violation withLog(Violation found, List<ClientRequest> requests) throws IOException {
        for (ClientRequest r : requests) {
            if (found.what().startsWith("id " + r.id + " ")) {
                StringBuilder text = new StringBuilder(found.what());
                nodes.get(r.node)
                        .log()
                        .lines()
                        .filter(line -> line.contains("request=" + r.id + " ") || line.endsWith("request=" + r.id))
                        .limit(LOG_LINES)
                        .forEach(line -> text.append(String.format("%n    log %s", line)));
                return new Violation(found.rule(), text.toString());
            }
        }
        return found;
    }

    /** Starts, and what the nodes' own checks found. */
    private List<Violation> checkProcesses(Map<Integer, List<ProcessLifetime>> lives) throws IOException {
        List<Violation> violations = new ArrayList<>();
        List<ProcessLifetime> all =
                lives.values().stream().flatMap(List::stream).toList();
        List<ProcessLifetime> late = all.stream()
                .filter(l -> l.readyAt - l.startedAt > READY_SOON_MS)
                .toList();
        if (late.size() * 10 > all.size()) {
            violations.add(new Violation("start", late.size() + " of " + all.size() + " are ready late"));
        }
        for (NodeSlot node : nodes) {
            node.log()
                    .lines()
                    .filter(line -> line.contains(" invariant_violated "))
                    .limit(LOG_LINES)
                    .forEach(line -> violations.add(new Violation("invariant", "n" + node.number + " " + line)));
            node.log()
                    .lines()
                    .filter(line -> INTERNAL_EXCEPTION.matcher(line).matches())
                    .limit(LOG_LINES)
                    .forEach(
                            line -> violations.add(new Violation("fault in the node", "n" + node.number + " " + line)));
        }
        return violations;
    }
}
