package quotagateway.scale;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import quotagateway.policy.api.EndpointState;

/** One real node, as the deploy file runs it, among stand-ins on loopback. */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        description = "CPU, memory and added latency of a real node by servers, load and changes")
final class NodeExperiment extends Experiment {
    /** Connections, rates and compiled code stand by then (ms). */
    private static final int SETTLE_MS = 6000;

    private static final int STEP_MS = 100;
    private static final double MICROS_PER_MS = 1000;

    @Mixin
    RepositoryOption repository;

    @Option(
            names = "--servers",
            split = ",",
            defaultValue = "10,200,2000,20000,200000",
            description = "servers listed, a point each (default ${DEFAULT-VALUE})")
    List<Integer> servers;

    @Option(
            names = "--rates",
            split = ",",
            defaultValue = "25,50,100,200,400",
            description = "requests a second, a point each (default ${DEFAULT-VALUE})")
    List<Integer> rates;

    @Option(
            names = "--customers",
            split = ",",
            defaultValue = "100,1000,10000,100000",
            description = "customers, a point each (default ${DEFAULT-VALUE})")
    List<Integer> customers;

    @Option(
            names = "--changes",
            split = ",",
            defaultValue = "0,1,4,16",
            description = "changes of the list a second, a point each (default ${DEFAULT-VALUE})")
    List<Integer> changes;

    @Option(
            names = "--usual",
            split = ",",
            arity = "1",
            defaultValue = "200,183,1000,0",
            description = "SERVERS,RATE,CUSTOMERS,CHANGES of what is not varied (default ${DEFAULT-VALUE})")
    int[] usual;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "of load that are measured, a point " + "(default ${DEFAULT-VALUE})")
    int seconds;

    @Option(
            names = "--nodes",
            defaultValue = "8200",
            description = "edge nodes of the fleet that the node is " + "told of (default ${DEFAULT-VALUE})")
    int nodes;

    @Option(names = "--zones", defaultValue = "3", description = "zones (default ${DEFAULT-VALUE})")
    int zones;

    @Option(
            names = "--service-ms",
            defaultValue = "20",
            description = "time of a server for a request " + "(default ${DEFAULT-VALUE})")
    double service;

    @Option(
            names = "--counter-per-s",
            defaultValue = "1500",
            description = "calls that the counter serves " + "(default ${DEFAULT-VALUE})")
    double counterRate;

    @Option(
            names = "--counter-ms",
            defaultValue = "1",
            description = "delay of the counter " + "(default ${DEFAULT-VALUE})")
    double counterDelay;

    @Option(names = "--torn", description = "the agent sends its lists in small parts")
    boolean torn;

    @Option(names = "--indented", description = "the agent indents its lists")
    boolean indented;

    @Option(names = "--server-port", defaultValue = "0", description = "of all place servers; 0 takes a free one")
    int serverPort;

    @Override
    void measure() throws Exception {
        check();
        for (int i : servers) {
            point("listed_servers", i, i, usual[1], usual[2], usual[3]);
        }
        for (int i : rates) {
            point("requests_per_s", i, usual[0], i, usual[2], usual[3]);
        }
        for (int i : customers) {
            point("customers", i, usual[0], usual[1], i, usual[3]);
        }
        for (int i : changes) {
            point("changes_per_s", i, usual[0], usual[1], usual[2], i);
        }
    }

    private void check() throws Exception {
        require(usual.length == 4, "--usual has to be SERVERS,RATE,CUSTOMERS,CHANGES");
        requireAtLeast(servers, 1, "--servers");
        requireAtLeast(rates, 1, "--rates");
        requireAtLeast(customers, 1, "--customers");
        requireAtLeast(changes, 0, "--changes");
        require(usual[0] > 0 && usual[1] > 0 && usual[2] > 0 && usual[3] >= 0, "--usual has to be above 0");
        require(
                seconds > 0 && nodes > 0 && zones > 0 && service >= 0 && counterRate > 0 && counterDelay >= 0,
                "--seconds, --nodes, --zones, --service-ms, --counter-per-s and --counter-ms have to be above 0");
        require(serverPort >= 0 && serverPort < 65_536, "--server-port has to be a port");
        NodeLaunch.runLine(repository.root()); // told before the first point, not after it
    }

    private void point(String x, int at, int listed, int rate, int asking, int changing) throws Exception {
        showProgress(x + " " + at);
        checkTimeLimitNow();
        EventLoopGroup peers = StandInLoops.singleThread();
        EventLoopGroup clients = StandInLoops.singleThread();
        EndpointInventory all = new EndpointInventory(listed, zones);
        try (EndpointStandIns place = new EndpointStandIns(peers, listed, serverPort, service);
                CounterStandIn counter = new CounterStandIn(peers, 0, counterRate, counterDelay);
                DiscoveryStandIn agent = new DiscoveryStandIn(
                        peers, 0, all, place::hostAndPort, new DiscoveryStandIn.ListFormat(torn, indented), seed);
                RealNode node = RealNode.start(
                        repository.root(),
                        ScaleSettings.keys(0, nodes, zones),
                        "null",
                        agent.port(),
                        counter.port(),
                        seed)) {
            CustomerPopulation population = new CustomerPopulation(asking, CustomerPopulation.SKEW);
            LoadDriver load = new LoadDriver(clients, List.of(node.address), nodes, population, rate, seed);
            results.add("node.ready", x, at, node.readySeconds, "s");
            results.add("node.list_bytes", x, at, agent.completeList().length, "bytes");
            load.start();
            Future<?> ticking = changing == 0 ? null : changes(peers, agent, all, changing);
            await(node, SETTLE_MS);
            measure(x, at, node, place, counter, agent, load);
            if (ticking != null) {
                ticking.cancel(false);
            }
            load.stop();
        } catch (RealNode.NodeNotReadyException e) {
            System.err.println(x + " " + at + ": " + e.getMessage());
            results.add("node.served_share", x, at, 0, "share");
        } finally {
            peers.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await();
            clients.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await();
        }
    }

    /** What a settled node under load costs over the run's seconds, and what it adds to requests. */
    private void measure(
            String x,
            int at,
            RealNode node,
            EndpointStandIns place,
            CounterStandIn counter,
            DiscoveryStandIn agent,
            LoadDriver load)
            throws Exception {
        load.takeCounts();
        long calls = counter.calls.get();
        long bytes = agent.bytesSent.get();
        double cpu = node.cpuMicros();
        long from = System.nanoTime();
        await(node, seconds * (int) MICROS_PER_MS);
        double lasted = (System.nanoTime() - from) / 1e9;
        double used = node.cpuMicros() - cpu;
        LoadDriver.LoadCounts counts = load.takeCounts();
        results.add("node.cpu_us_per_s", x, at, used / lasted, "us/s");
        results.add("node.cpu_us_per_request", x, at, used / Math.max(1, counts.sent()), "us");
        results.add("node.rss_mb", x, at, node.residentMemoryMb(), "MB");
        results.add("node.descriptors", x, at, (double) node.openDescriptors(), "descriptors");
        results.add("node.server_connections", x, at, place.connections(), "connections");
        results.add("node.counter_calls_per_s", x, at, (counter.calls.get() - calls) / lasted, "1/s");
        results.add("node.discovery_bytes_per_s", x, at, (agent.bytesSent.get() - bytes) / lasted, "bytes/s");
        results.add("node.served_share", x, at, counts.served() / (double) Math.max(1, counts.sent()), "share");
        latency("node.added", x, at, counts.addedLatency());
    }

    private void latency(String metric, String x, int at, Histogram latencies) {
        if (latencies.getTotalCount() == 0) {
            return; // nothing was served: no time to tell
        }
        results.add(metric + "_mean", x, at, latencies.getMean() / MICROS_PER_MS, "ms");
        for (double p : new double[] {50, 99, 99.9}) {
            results.add(
                    metric + "_p" + Results.number(p), x, at, latencies.getValueAtPercentile(p) / MICROS_PER_MS, "ms");
        }
    }

    /** Servers drain and come back by turns. */
    private Future<?> changes(EventLoopGroup group, DiscoveryStandIn agent, EndpointInventory all, int perSecond) {
        SplittableRandom random = new SplittableRandom(seed);
        int[] last = {-1};
        return group.scheduleAtFixedRate(
                () -> {
                    boolean back = last[0] >= 0;
                    int server = back ? last[0] : random.nextInt(all.size());
                    last[0] = back ? -1 : server;
                    agent.change(Set.of(server), back ? EndpointState.UP : EndpointState.DRAINING, 0);
                },
                0,
                1_000_000_000L / perSecond,
                TimeUnit.NANOSECONDS);
    }

    private void await(RealNode node, int milliseconds) throws InterruptedException {
        for (int left = milliseconds; left > 0; left -= STEP_MS) {
            Thread.sleep(STEP_MS);
            checkTimeLimitNow();
            require(node.isAlive(), "the edge node has ended: " + node.firstLogLine());
        }
    }
}
