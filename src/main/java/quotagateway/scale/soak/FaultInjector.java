package quotagateway.scale.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import quotagateway.policy.api.EndpointState;
import quotagateway.scale.DiscoveryStandIn;

/** Carries a plan of faults out, each on a thread of its own, so that they overlap as they were drawn. */
final class FaultInjector {
    /** A change of discovery's address disturbs it for so long (ms). */
    private static final double MOVE = 4000;

    /** What faults are done to. */
    record Scene(
            RunClock clock,
            List<NodeSlot> nodes,
            FaultyEndpoints servers,
            DiscoveryStandIn agent,
            List<FaultProxy> discovery,
            List<FaultProxy> counter,
            NodeSlot.FaultListener listener) {}

    private final Scene scene;
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "fault");
        thread.setDaemon(true);
        return thread;
    });
    private final List<EndpointChange> news = new CopyOnWriteArrayList<>();
    private final List<double[]> discoveryFaults = new CopyOnWriteArrayList<>();
    private final Set<Integer> draining = new HashSet<>();

    FaultInjector(Scene scene) {
        this.scene = scene;
    }

    List<EndpointChange> news() {
        return news;
    }

    /** From when until when (ms of the run) discovery was not well. */
    List<double[]> discoveryFaults() {
        return discoveryFaults;
    }

    /** Begins each fault at its time; returns when the last one has begun. */
    void play(List<FaultPlan.Fault> plan) throws InterruptedException {
        for (FaultPlan.Fault fault : plan) {
            double wait = fault.at() - scene.clock.now();
            if (wait > 0) {
                TimeUnit.MICROSECONDS.sleep(Math.round(wait * 1000));
            }
            threads.execute(() -> guarded(fault));
        }
    }

    /** Waits until all have ended. */
    boolean awaitEnd(long seconds) throws InterruptedException {
        threads.shutdown();
        return threads.awaitTermination(seconds, TimeUnit.SECONDS);
    }

    private void guarded(FaultPlan.Fault fault) {
        try {
            inject(fault);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | RuntimeException e) {
            scene.listener.fault("harness", fault + ": " + e);
        }
    }

    private void inject(FaultPlan.Fault fault) throws IOException, InterruptedException {
        int first = fault.targets().get(0);
        switch (fault.kind()) {
            case RESTART -> scene.nodes.get(first).restart();
            case KILL -> scene.nodes.get(first).kill();
            case UPGRADE -> scene.nodes.get(first).upgrade();
            case HANGUP -> {
                discoveryFaults.add(new double[] {scene.clock.now(), scene.clock.now() + MOVE});
                scene.nodes.get(first).hangup();
            }
            case PAUSE -> scene.nodes.get(first).pause(Math.round(fault.duration()));
            case ROLL -> roll(fault);
            case SERVERS_HANG -> servers(fault, FaultyEndpoints.Behaviour.HANG);
            case SERVERS_FAIL -> servers(fault, FaultyEndpoints.Behaviour.FAIL);
            case SERVERS_BUSY -> servers(fault, FaultyEndpoints.Behaviour.BUSY);
            case SERVERS_RESET -> servers(fault, FaultyEndpoints.Behaviour.RESET);
            case SERVERS_HALF -> servers(fault, FaultyEndpoints.Behaviour.HALF);
            case SERVERS_SLOW -> servers(fault, FaultyEndpoints.Behaviour.SLOW);
            case SERVERS_DOWN -> servers(fault, FaultyEndpoints.Behaviour.DOWN);
            case SERVER_CONNECTIONS_RESET -> fault.targets().forEach(scene.servers::resetAll);
            case SERVERS_DRAIN -> drain(fault);
            case DISCOVERY_SILENT -> discovery(fault, FaultProxy.Mode.SILENT);
            case DISCOVERY_HOLD -> discovery(fault, FaultProxy.Mode.HOLD_ANSWERS);
            case DISCOVERY_RESET -> discovery(fault, FaultProxy.Mode.RESET_NEW);
            case COUNTER_SILENT -> proxy(scene.counter.get(first), fault, FaultProxy.Mode.SILENT);
            case COUNTER_HOLD -> proxy(scene.counter.get(first), fault, FaultProxy.Mode.HOLD_ANSWERS);
            case COUNTER_RESET -> proxy(scene.counter.get(first), fault, FaultProxy.Mode.RESET_NEW);
        }
    }

    private static void last(FaultPlan.Fault fault) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(Math.round(fault.duration() * 1000));
    }

    private void servers(FaultPlan.Fault fault, FaultyEndpoints.Behaviour behaviour) throws InterruptedException {
        fault.targets().forEach(server -> scene.servers.behave(server, behaviour));
        last(fault);
        fault.targets().forEach(server -> scene.servers.behave(server, FaultyEndpoints.Behaviour.WELL));
    }

    /** Some nodes are told to end at once, while every third server hangs. */
    private void roll(FaultPlan.Fault fault) throws InterruptedException {
        int size = scene.servers.size();
        for (int server = 0; server < size; server += 3) {
            scene.servers.behave(server, FaultyEndpoints.Behaviour.HANG);
        }
        List<Thread> restarts = new ArrayList<>();
        for (int node : fault.targets()) {
            restarts.add(new Thread(
                    () -> guarded(new FaultPlan.Fault(FaultPlan.Kind.RESTART, fault.at(), 0, List.of(node)))));
        }
        restarts.forEach(Thread::start);
        last(fault);
        for (int server = 0; server < size; server += 3) {
            scene.servers.behave(server, FaultyEndpoints.Behaviour.WELL);
        }
        for (Thread restart : restarts) {
            restart.join();
        }
    }

    /** Servers drain, go, and come back; those that drain already are left alone. */
    private void drain(FaultPlan.Fault fault) throws InterruptedException {
        Set<Integer> mine = new HashSet<>(fault.targets());
        synchronized (draining) {
            mine.removeAll(draining);
            draining.addAll(mine);
        }
        double from = scene.clock.now();
        scene.agent.change(mine, EndpointState.DRAINING, 0);
        TimeUnit.MICROSECONDS.sleep(Math.round(fault.duration() * 500));
        scene.agent.change(mine, EndpointState.REMOVED, 0);
        TimeUnit.MICROSECONDS.sleep(Math.round(fault.duration() * 500));
        double until = scene.clock.now();
        scene.agent.change(mine, EndpointState.UP, System.currentTimeMillis());
        mine.forEach(server -> news.add(new EndpointChange(server, from, until)));
        synchronized (draining) {
            draining.removeAll(mine);
        }
    }

    private void discovery(FaultPlan.Fault fault, FaultProxy.Mode mode) throws InterruptedException {
        double from = scene.clock.now();
        discoveryFaults.add(new double[] {from, from + fault.duration()});
        proxy(scene.discovery.get(fault.targets().get(0)), fault, mode);
    }

    private static void proxy(FaultProxy proxy, FaultPlan.Fault fault, FaultProxy.Mode mode)
            throws InterruptedException {
        proxy.mode(mode);
        if (mode == FaultProxy.Mode.RESET_NEW) {
            proxy.resetAll();
        }
        last(fault);
        proxy.mode(FaultProxy.Mode.PASS);
    }
}
