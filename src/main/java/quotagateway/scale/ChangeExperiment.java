package quotagateway.scale;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import quotagateway.policy.api.EndpointState;

/** Real nodes under load; servers begin to drain, one after another, and come back. */
@Command(
        name = "change",
        mixinStandardHelpOptions = true,
        description = "Time from a change at the agent to the last real node's last request against it")
final class ChangeExperiment extends Experiment {
    private static final int SETTLE_MS = 4000;
    /** Memory of a node: more than so many would take over half of a usual machine. */
    private static final int MAX_NODES = 32;

    @Mixin
    RepositoryOption repository;

    @Option(
            names = "--nodes",
            split = ",",
            defaultValue = "1,2,3,4",
            description = "real nodes, a point each (default ${DEFAULT-VALUE})")
    List<Integer> sizes;

    @Option(
            names = "--servers",
            defaultValue = "10",
            description = "servers listed: few, so that each has " + "traffic at any time (default ${DEFAULT-VALUE})")
    int listed;

    @Option(
            names = "--rate",
            defaultValue = "183",
            description = "requests a second and node " + "(default ${DEFAULT-VALUE})")
    double rate;

    @Option(names = "--changes", defaultValue = "20", description = "a point (default ${DEFAULT-VALUE})")
    int changes;

    @Option(
            names = "--pause-ms",
            defaultValue = "400",
            description = "after each change " + "(default ${DEFAULT-VALUE})")
    int pause;

    @Override
    void measure() throws Exception {
        requireAtLeast(sizes, 1, "--nodes");
        require(sizes.stream().allMatch(s -> s <= MAX_NODES), "--nodes has to be " + MAX_NODES + " or less");
        require(
                listed > 1 && rate > 0 && changes > 0 && pause > 0,
                "--servers has to be above 1, --rate, --changes and --pause-ms above 0");
        NodeLaunch.runLine(repository.root());
        for (int size : sizes) {
            showProgress(size + " nodes");
            point(size);
        }
    }

    private void point(int size) throws Exception {
        EventLoopGroup peers = StandInLoops.singleThread();
        EventLoopGroup clients = StandInLoops.singleThread();
        EndpointInventory all = new EndpointInventory(listed, 1);
        List<RealNode> nodes = new ArrayList<>();
        try (EndpointStandIns place = new EndpointStandIns(peers, listed, 0, 1);
                CounterStandIn counter = new CounterStandIn(peers, 0, 1e4, 0);
                DiscoveryStandIn agent = new DiscoveryStandIn(
                        peers, 0, all, place::hostAndPort, new DiscoveryStandIn.ListFormat(false, false), seed)) {
            startNodes(nodes, size, agent, counter);
            List<InetSocketAddress> addresses =
                    nodes.stream().map(node -> node.address).toList();
            LoadDriver load = new LoadDriver(
                    clients, addresses, size, new CustomerPopulation(1000, CustomerPopulation.SKEW), rate * size, seed);
            load.start();
            Thread.sleep(SETTLE_MS);
            Histogram times = new Histogram(3);
            for (int i = 0; i < changes; i++) {
                checkTimeLimitNow();
                times.recordValue(change(place, agent, i % listed));
            }
            load.stop();
            results.add("change.last_send_mean", "nodes", size, times.getMean() / 1000, "ms");
            results.add("change.last_send_worst", "nodes", size, times.getMaxValue() / 1000.0, "ms");
        } finally {
            for (RealNode node : nodes) {
                node.close();
            }
            peers.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await();
            clients.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await();
        }
    }

    /** Starts real nodes one after another into a list, which has those that were started even if one fails. */
    private void startNodes(List<RealNode> nodes, int size, DiscoveryStandIn agent, CounterStandIn counter)
            throws Exception {
        for (int i = 0; i < size; i++) {
            nodes.add(RealNode.start(
                    repository.root(), ScaleSettings.keys(i, size, 1), "null", agent.port(), counter.port(), seed + i));
            checkTimeLimitNow();
        }
    }

    /** From the agent's word to the last request that the server got after it (us); 0 where none came. */
    private long change(EndpointStandIns place, DiscoveryStandIn agent, int server) throws InterruptedException {
        long announcedAt = System.nanoTime();
        agent.change(Set.of(server), EndpointState.DRAINING, 0);
        Thread.sleep(pause);
        long last = place.lastRequestNanos.get(server);
        agent.change(Set.of(server), EndpointState.UP, 0);
        Thread.sleep(pause);
        return Math.max(0, (last - announcedAt) / 1000);
    }
}
