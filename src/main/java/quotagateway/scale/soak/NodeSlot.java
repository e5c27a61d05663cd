package quotagateway.scale.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.locks.ReentrantLock;
import quotagateway.scale.NodeLaunch;

/**
 * One node of the soak: its address and folder, and the processes that run there one after another. Restarts, upgrades,
 * kills and reloads of a node exclude each other; one that comes during another is skipped.
 */
final class NodeSlot implements AutoCloseable {
    /** New connections go on coming for so long (ms) after SIGTERM. */
    private static final double CONNECTS_AFTER_TERM_MS = 350;

    private static final long READY_WITHIN_MS = 30_000;
    private static final long POLL_INTERVAL_MS = 5;
    private static final long DOWN_TIME_MS = 200;
    /** The platform sends no SIGHUP before. */
    private static final double NO_HANGUP_BEFORE_MS = 1000;

    private static final int MAX_HANGUPS = 4;
    private static final int CLOSE_DISTANCE_MS = 20;
    private static final int FAR_DISTANCE_MS = 1500;

    /**
     * What all nodes have in common.
     *
     * @param root folder of the built repository
     * @param folder where each node has a folder of its own
     * @param knownList the endpoint list that each node starts with, as JSON
     * @param discovery proxies before discovery; a reload moves a node to the next one
     * @param counter proxies before the shared counter, in the same order
     */
    record Platform(
            RunClock clock,
            Path root,
            Path folder,
            SoakSettings settings,
            String knownList,
            List<FaultProxy> discovery,
            List<FaultProxy> counter,
            FaultListener faults) {}

    /** Hears of faults that no fault of the run explains. */
    interface FaultListener {
        void fault(String rule, String what);
    }

    final int number;
    private final Platform platform;
    private final InetSocketAddress address;
    private final Path folder;
    private final Path log;
    private final SplittableRandom random;
    private final ReentrantLock changeLock = new ReentrantLock();
    private final List<ProcessLifetime> lifetimes = new ArrayList<>();
    private final List<NodeProcess> processes = new ArrayList<>();
    private volatile NodeProcess current;
    private volatile ProcessLifetime lifetime;
    /** Until then (ms of the run) clients make new connections. */
    private volatile double connectsUntil = Double.NEGATIVE_INFINITY;

    private volatile Runnable whenTerminated = () -> {};
    private volatile int proxyIndex;

    NodeSlot(int number, Platform platform, long seed) throws IOException {
        this.number = number;
        this.platform = platform;
        random = new SplittableRandom(seed);
        proxyIndex = number % platform.discovery.size();
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), NodeProcess.freePort());
        folder = Files.createDirectories(platform.folder.resolve("n" + number));
        log = folder.resolve("log");
    }

    InetSocketAddress address() {
        return address;
    }

    /** Sets what is run each time a process of this node gets SIGTERM. */
    void whenTerminated(Runnable action) {
        whenTerminated = action;
    }

    /** Whether clients make new connections at present. */
    boolean mayConnect() {
        return platform.clock.now() < connectsUntil;
    }

    /** The number of the process that was started last. */
    int processNumber() {
        return lifetime == null ? 0 : lifetime.number;
    }

    /** All processes so far, in the order of their starts. */
    synchronized List<ProcessLifetime> lifetimes() {
        return List.copyOf(lifetimes);
    }

    private NodeLaunch.Addresses addresses() {
        return new NodeLaunch.Addresses(
                "127.0.0.1:" + address.getPort(),
                platform.discovery.get(proxyIndex).dial(),
                platform.counter.get(proxyIndex).dial());
    }

    private Path configure() throws IOException {
        Path config = folder.resolve("config.json");
        Path next = folder.resolve("config.next");
        Files.writeString(
                next,
                NodeLaunch.configuration(
                        "n" + number,
                        addresses(),
                        platform.settings.sockets(),
                        random.nextLong(),
                        platform.knownList,
                        platform.settings.keys(number)));
        return Files.move(
                next,
                config,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts a process, which is the current one from here on; signals go to it. */
    private void launch(boolean emptyFolder) throws IOException {
        Path temporary = folder.resolve("tmp");
        if (emptyFolder) {
            NodeLaunch.delete(temporary);
        }
        Files.createDirectories(temporary);
        Map<String, String> environment =
                new HashMap<>(NodeLaunch.environment("n" + number, addresses(), configure(), temporary));
        environment.put("EDGE_LOG", "all");
        ProcessLifetime next = new ProcessLifetime(number, lifetimes.size(), platform.clock.now());
        NodeProcess process =
                NodeProcess.start(NodeLaunch.command(platform.root), platform.root, environment, log, address);
        synchronized (this) {
            lifetimes.add(next);
            processes.add(process);
        }
        lifetime = next;
        current = process;
    }

    /** Starts the first process, and waits until it is ready. */
    void start() throws IOException, InterruptedException {
        launch(true);
        awaitReady();
    }

    private void awaitReady() throws InterruptedException {
        ProcessLifetime of = lifetime;
        if (current.awaitReady(READY_WITHIN_MS)) {
            of.readyAt = platform.clock.now();
            connectsUntil = Double.POSITIVE_INFINITY;
        } else {
            platform.faults.fault("start", "not ready: " + of);
        }
    }

    /** A change of the node's process. */
    private interface ProcessChange {
        void make() throws IOException, InterruptedException;
    }

    /** Makes a change unless another one goes on; whether it was made. */
    private boolean exclusively(ProcessChange change) throws IOException, InterruptedException {
        if (!changeLock.tryLock()) {
            return false;
        }
        try {
            change.make();
            return true;
        } finally {
            changeLock.unlock();
        }
    }

    /** Ends the process by SIGTERM, and SIGKILL as early as the protocol allows; then starts a new one. */
    void restart() throws IOException, InterruptedException {
        exclusively(() -> {
            terminate(current, lifetime, true);
            Thread.sleep(DOWN_TIME_MS);
            launch(true);
            awaitReady();
        });
    }

    /** Ends the process by SIGKILL without SIGTERM; then starts a new one. */
    void kill() throws IOException, InterruptedException {
        exclusively(() -> {
            lifetime.killedAt = platform.clock.now();
            connectsUntil = lifetime.killedAt;
            current.signal(NodeProcess.Signal.KILL);
            current.awaitEnd(READY_WITHIN_MS);
            lifetime.endedAt = platform.clock.now();
            Thread.sleep(DOWN_TIME_MS);
            launch(true);
            awaitReady();
        });
    }

    /** Starts a second process beside the first, and ends the first one once the second listens. */
    void upgrade() throws IOException, InterruptedException {
        exclusively(() -> {
            NodeProcess before = current;
            ProcessLifetime lifeBefore = lifetime;
            int binds = bindCount();
            launch(false);
            double end = platform.clock.now() + READY_WITHIN_MS;
            while (bindCount() == binds && platform.clock.now() < end && current.isAlive()) {
                Thread.sleep(POLL_INTERVAL_MS);
            }
            if (bindCount() == binds) {
                platform.faults.fault("start", "beside another, not ready: " + lifetime);
            }
            lifetime.readyAt = platform.clock.now();
            terminate(before, lifeBefore, false);
        });
    }

    private int bindCount() throws IOException {
        return log().split(" bind ", -1).length;
    }

    private void terminate(NodeProcess process, ProcessLifetime of, boolean last) throws InterruptedException {
        checkAlive(process, of);
        of.terminatedAt = platform.clock.now();
        if (last) {
            connectsUntil = of.terminatedAt + CONNECTS_AFTER_TERM_MS;
        }
        process.signal(NodeProcess.Signal.TERM);
        whenTerminated.run();
        double kill = of.terminatedAt + platform.settings.earliestKillMs();
        while (process.isAlive() && platform.clock.now() < kill) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
        if (process.isAlive()) {
            of.killedAt = platform.clock.now();
            process.signal(NodeProcess.Signal.KILL);
            process.awaitEnd(READY_WITHIN_MS);
        }
        of.endedAt = platform.clock.now();
    }

    private void checkAlive(NodeProcess process, ProcessLifetime of) {
        if (!process.isAlive()) {
            platform.faults.fault("crash", "exit code " + process.exitCode() + ": " + of);
        }
    }

    /** Whether the configuration names this proxy as discovery. */
    boolean isBehind(FaultProxy proxy) {
        return platform.discovery.get(proxyIndex) == proxy;
    }

    /**
     * Changes the addresses of discovery and the counter in the configuration, and sends SIGHUP.
     *
     * @param onSignal run just before the signal
     * @return whether it was sent, as no other change went on
     */
    boolean hangup(Runnable onSignal) throws IOException, InterruptedException {
        return exclusively(() -> move(onSignal));
    }

    private void move(Runnable onSignal) throws IOException, InterruptedException {
        double youngFor = lifetime.startedAt + NO_HANGUP_BEFORE_MS - platform.clock.now();
        if (youngFor > 0) {
            Thread.sleep((long) Math.ceil(youngFor));
        }
        proxyIndex = nextProxyIndex();
        configure();
        onSignal.run();
        current.signal(NodeProcess.Signal.HUP);
    }

    /** The next address that discovery has not left; there is always one. */
    private int nextProxyIndex() {
        int next = proxyIndex;
        do {
            next = (next + 1) % platform.discovery.size();
        } while (platform.discovery.get(next).isAbandoned());
        return next;
    }

    /**
     * Some SIGHUPs, then SIGTERM at any distance, and sometimes one more SIGHUP while the process shuts down; a new
     * process is started behind it.
     *
     * @param onHangup run just before each SIGHUP that moves the node
     */
    void signalSeries(SplittableRandom draws, Runnable onHangup) throws IOException, InterruptedException {
        exclusively(() -> {
            for (int left = draws.nextInt(MAX_HANGUPS + 1); left > 0; left--) {
                move(onHangup);
                Thread.sleep(distanceMs(draws));
            }
            NodeProcess ending = current;
            if (draws.nextBoolean()) {
                long hangupAfterMs = distanceMs(draws);
                Thread late = new Thread(() -> hangupLate(ending, hangupAfterMs), "late SIGHUP");
                late.setDaemon(true);
                late.start();
            }
            terminate(ending, lifetime, true);
            Thread.sleep(DOWN_TIME_MS);
            launch(true);
            awaitReady();
        });
    }

    /** Half of the signals come close behind one another. */
    private static long distanceMs(SplittableRandom draws) {
        return draws.nextInt(draws.nextBoolean() ? CLOSE_DISTANCE_MS : FAR_DISTANCE_MS);
    }

    private static void hangupLate(NodeProcess process, long afterMs) {
        try {
            Thread.sleep(afterMs);
            process.signal(NodeProcess.Signal.HUP);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops the process for a time and lets it go on. */
    void pause(long milliseconds) throws IOException, InterruptedException {
        current.pause(milliseconds);
    }

    /** Ends the process at the end of the run, as a restart does. */
    void finish() throws InterruptedException {
        changeLock.lock();
        try {
            terminate(current, lifetime, true);
        } finally {
            changeLock.unlock();
        }
    }

    /** Everything that the processes of this node have written. */
    String log() throws IOException {
        return current == null ? "" : current.log();
    }

    @Override
    public void close() {
        processes.forEach(NodeProcess::close);
    }
}
