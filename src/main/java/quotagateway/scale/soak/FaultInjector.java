package quotagateway.scale.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import quotagateway.policy.api.EndpointState;
import quotagateway.scale.DiscoveryStandIn;

/** Carries out a plan of faults, each on a thread of its own, so that they overlap as they were drawn. */
final class FaultInjector {
    /** An address that discovery has left closes its open connections after this. */
    private static final long OLD_ADDRESS_OPEN_MS = 1500;
    /** All nodes of a proxy get their SIGHUP within this. */
    private static final int MOVE_WITHIN_MS = 300;
    /** Discovery is away for so long. */
    private static final int MIN_AWAY_MS = 500;

    private static final int MAX_AWAY_MS = 3000;
    /** Servers begin to drain within this behind a move or a return. */
    private static final int DRAIN_BEHIND_MS = 1500;

    /** What faults are injected into, and who hears of unexpected ones. */
    record Targets(
            RunClock clock,
            List<NodeSlot> nodes,
            FaultyEndpoints servers,
            DiscoveryStandIn agent,
            List<FaultProxy> discovery,
            List<FaultProxy> counter,
            NodeSlot.FaultListener listener) {}

    private final Targets targets;
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "fault");
        thread.setDaemon(true);
        return thread;
    });
    private final List<EndpointChange> endpointChanges = new CopyOnWriteArrayList<>();
    private final List<FaultPeriod> discoveryFaults = new CopyOnWriteArrayList<>();
    private final Set<Integer> draining = new HashSet<>();

    FaultInjector(Targets scene) {
        this.targets = scene;
    }

    List<EndpointChange> endpointChanges() {
        return endpointChanges;
    }

    /** When discovery was disturbed. */
    List<FaultPeriod> discoveryFaults() {
        return discoveryFaults;
    }

    /** Begins each fault at its time; returns once the last one has begun. */
    void play(List<FaultPlan.Fault> plan) throws InterruptedException {
        for (FaultPlan.Fault fault : plan) {
            double wait = fault.at() - targets.clock.now();
            if (wait > 0) {
                TimeUnit.MICROSECONDS.sleep(Math.round(wait * 1000));
            }
            threads.execute(() -> injectGuarded(fault));
        }
    }

    /** Waits until all faults have ended; false where one lasts longer than so many seconds. */
    boolean awaitEnd(long seconds) throws InterruptedException {
        threads.shutdown();
        return threads.awaitTermination(seconds, TimeUnit.SECONDS);
    }

    private void injectGuarded(FaultPlan.Fault fault) {
        try {
            inject(fault);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | RuntimeException e) {
            targets.listener.fault("harness", fault + ": " + e);
        }
    }

    private void inject(FaultPlan.Fault fault) throws IOException, InterruptedException {
        int first = fault.targets().get(0);
        switch (fault.kind()) {
            case RESTART -> targets.nodes.get(first).restart();
            case KILL -> targets.nodes.get(first).kill();
            case UPGRADE -> targets.nodes.get(first).upgrade();
            case HANGUP -> hangup(targets.nodes.get(first));
            case SIGNALS -> {
                NodeSlot node = targets.nodes.get(first);
                node.signalSeries(new SplittableRandom(fault.seed()), () -> noteMove(node));
            }
            case DISCOVERY_MOVES -> moveDiscovery(fault);
            case DISCOVERY_AWAY -> removeDiscoveryForAWhile(fault);
            case PAUSE -> targets.nodes.get(first).pause(Math.round(fault.duration()));
            case ROLL -> roll(fault);
            case SERVERS_HANG -> servers(fault, FaultyEndpoints.Behaviour.HANG);
            case SERVERS_FAIL -> servers(fault, FaultyEndpoints.Behaviour.FAIL);
            case SERVERS_BUSY -> servers(fault, FaultyEndpoints.Behaviour.BUSY);
            case SERVERS_RESET -> servers(fault, FaultyEndpoints.Behaviour.RESET);
            case SERVERS_HALF -> servers(fault, FaultyEndpoints.Behaviour.HALF);
            case SERVERS_SLOW -> servers(fault, FaultyEndpoints.Behaviour.SLOW);
            case SERVERS_DOWN -> servers(fault, FaultyEndpoints.Behaviour.DOWN);
            case SERVER_CONNECTIONS_RESET -> fault.targets().forEach(targets.servers::resetAll);
            case SERVERS_DRAIN -> drain(fault);
            case DISCOVERY_SILENT -> discovery(fault, FaultProxy.Mode.SILENT);
            case DISCOVERY_HOLD -> discovery(fault, FaultProxy.Mode.HOLD_ANSWERS);
            case DISCOVERY_RESET -> discovery(fault, FaultProxy.Mode.RESET_NEW);
            case COUNTER_SILENT -> proxy(targets.counter.get(first), fault, FaultProxy.Mode.SILENT);
            case COUNTER_HOLD -> proxy(targets.counter.get(first), fault, FaultProxy.Mode.HOLD_ANSWERS);
            case COUNTER_RESET -> proxy(targets.counter.get(first), fault, FaultProxy.Mode.RESET_NEW);
        }
    }

    private static void awaitDuration(FaultPlan.Fault fault) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(Math.round(fault.duration() * 1000));
    }

    private void servers(FaultPlan.Fault fault, FaultyEndpoints.Behaviour behaviour) throws InterruptedException {
        fault.targets().forEach(server -> targets.servers.setBehaviour(server, behaviour));
        awaitDuration(fault);
        fault.targets().forEach(server -> targets.servers.setBehaviour(server, FaultyEndpoints.Behaviour.HEALTHY));
    }

    /** Restarts several nodes together while every third endpoint hangs. */
    private void roll(FaultPlan.Fault fault) throws InterruptedException {
        int size = targets.servers.size();
        for (int server = 0; server < size; server += 3) {
            targets.servers.setBehaviour(server, FaultyEndpoints.Behaviour.HANG);
        }
        List<Thread> restarts = new ArrayList<>();
        for (int node : fault.targets()) {
            restarts.add(new Thread(() -> injectGuarded(
                    new FaultPlan.Fault(FaultPlan.Kind.RESTART, fault.at(), 0, List.of(node), fault.seed()))));
        }
        restarts.forEach(Thread::start);
        awaitDuration(fault);
        for (int server = 0; server < size; server += 3) {
            targets.servers.setBehaviour(server, FaultyEndpoints.Behaviour.HEALTHY);
        }
        for (Thread restart : restarts) {
            restart.join();
        }
    }

    private void noteMove(NodeSlot node) {
        discoveryFaults.add(FaultPeriod.moveOf(node.number, targets.clock.now()));
    }

    /** Moves a node to the next proxies by SIGHUP; false where another change of the node goes on. */
    private boolean hangup(NodeSlot node) throws IOException, InterruptedException {
        return node.hangup(() -> noteMove(node));
    }

    /** Every node of one proxy is moved by SIGHUP, its old address is closed, and servers drain right behind. */
    private void moveDiscovery(FaultPlan.Fault fault) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(fault.seed());
        FaultProxy left = targets.discovery.get(fault.targets().get(0));
        if (!abandon(left)) {
            return; // discovery is moving already, and has to be somewhere
        }
        double from = targets.clock.now();
        List<NodeSlot> unmoved = new ArrayList<>();
        left.mode(FaultProxy.Mode.RESET_NEW);
        for (NodeSlot node : targets.nodes) {
            if (node.isBehind(left)) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(Math.max(1, MOVE_WITHIN_MS / targets.nodes.size())));
                if (!hangup(node)) {
                    unmoved.add(node);
                }
            }
        }
        double until = from + OLD_ADDRESS_OPEN_MS + fault.duration();
        unmoved.forEach(node -> discoveryFaults.add(FaultPeriod.outageOf(node.number, from, until)));
        threads.execute(() -> injectGuarded(drainBehind(fault, random)));
        TimeUnit.MILLISECONDS.sleep(OLD_ADDRESS_OPEN_MS);
        left.resetAll();
        awaitDuration(fault);
        left.mode(FaultProxy.Mode.PASS);
        left.setAbandoned(false);
    }

    /** Marks an address as left by discovery; false where no other would remain. */
    private boolean abandon(FaultProxy proxy) {
        synchronized (targets.discovery) {
            boolean movesAlready = targets.discovery.stream().anyMatch(FaultProxy::isAbandoned);
            proxy.setAbandoned(!movesAlready);
            return !movesAlready;
        }
    }

    /** Nothing comes from discovery for a while, for any node, and servers drain right behind its return. */
    private void removeDiscoveryForAWhile(FaultPlan.Fault fault) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(fault.seed());
        double from = targets.clock.now();
        targets.discovery.forEach(proxy -> proxy.mode(FaultProxy.Mode.SILENT));
        TimeUnit.MILLISECONDS.sleep(MIN_AWAY_MS + random.nextInt(MAX_AWAY_MS - MIN_AWAY_MS));
        targets.discovery.forEach(proxy -> proxy.mode(FaultProxy.Mode.PASS));
        discoveryFaults.add(FaultPeriod.outage(from, targets.clock.now()));
        injectGuarded(drainBehind(fault, random));
    }

    private FaultPlan.Fault drainBehind(FaultPlan.Fault fault, SplittableRandom random) {
        double at = targets.clock.now() + random.nextInt(DRAIN_BEHIND_MS);
        return new FaultPlan.Fault(
                FaultPlan.Kind.SERVERS_DRAIN, at, fault.duration(), fault.servers(), random.nextLong());
    }

    /** Endpoints drain, leave the list and come back; those that another fault drains already are left alone. */
    private void drain(FaultPlan.Fault fault) throws InterruptedException {
        double wait = fault.at() - targets.clock.now();
        if (wait > 0) {
            TimeUnit.MICROSECONDS.sleep(Math.round(wait * 1000));
        }
        Set<Integer> mine = new HashSet<>(fault.targets());
        synchronized (draining) {
            mine.removeAll(draining);
            draining.addAll(mine);
        }
        double from = targets.clock.now();
        targets.agent.change(mine, EndpointState.DRAINING, 0);
        TimeUnit.MICROSECONDS.sleep(Math.round(fault.duration() * 500));
        targets.agent.change(mine, EndpointState.REMOVED, 0);
        TimeUnit.MICROSECONDS.sleep(Math.round(fault.duration() * 500));
        double until = targets.clock.now();
        targets.agent.change(mine, EndpointState.UP, System.currentTimeMillis());
        mine.forEach(server -> endpointChanges.add(new EndpointChange(server, from, until)));
        synchronized (draining) {
            draining.removeAll(mine);
        }
    }

    private void discovery(FaultPlan.Fault fault, FaultProxy.Mode mode) throws InterruptedException {
        double from = targets.clock.now();
        discoveryFaults.add(FaultPeriod.outage(from, from + fault.duration()));
        proxy(targets.discovery.get(fault.targets().get(0)), fault, mode);
    }

    private static void proxy(FaultProxy proxy, FaultPlan.Fault fault, FaultProxy.Mode mode)
            throws InterruptedException {
        proxy.mode(mode);
        if (mode == FaultProxy.Mode.RESET_NEW) {
            proxy.resetAll();
        }
        awaitDuration(fault);
        proxy.mode(FaultProxy.Mode.PASS);
    }
}
