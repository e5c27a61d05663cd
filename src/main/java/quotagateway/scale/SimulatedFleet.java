package quotagateway.scale;

import java.util.List;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicySettings;

/**
 * A fleet of hollow nodes on one virtual clock, before hollow servers and one counter. Load is an open loop:
 * requests come when they come, by one seed, uneven over customers.
 */
final class SimulatedFleet implements SimulatedNode.Peers {
    static final double START = 1_700_000_000_000.0;
    /** To a server and back (ms), and until a connection that cannot be made is given up. */
    private static final double WAY = 0.5;

    private static final double CONNECT_TIMEOUT = 250;
    /** Nodes have their first list within this (ms), so that they don't act in step. */
    private static final double FIRST_LIST = 200;

    final VirtualClock clock = new VirtualClock(START);
    final FleetOptions shape;
    final EndpointInventory servers;
    final SimulatedEndpoint[] hosts;
    final SimulatedNode[] nodes;
    final SimulatedCounter counter;
    final Histogram latency = new Histogram(3);
    final SplittableRandom random;
    private final CustomerPopulation customers;
    private final Runnable between;
    private final List<EndpointDescriptor> whole;
    private long arrivals;
    private boolean apart;
    private boolean discoverySilent;

    SimulatedFleet(FleetOptions shape, int size, long seed, Runnable between) {
        this.shape = shape;
        this.between = between;
        random = new SplittableRandom(seed);
        servers = new EndpointInventory(shape.servers(size), shape.zones);
        whole = servers.whole();
        customers = new CustomerPopulation(shape.customers(size), CustomerPopulation.SKEW);
        counter = new SimulatedCounter(clock, shape.counterRate, shape.counterWay);
        hosts = new SimulatedEndpoint[servers.size()];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = new SimulatedEndpoint(shape.kind(), clock);
        }
        nodes = new SimulatedNode[size];
        PolicySettings first = null;
        for (int i = 0; i < size; i++) {
            PolicySettings settings = ScaleSettings.settings(first, i, size, shape.zones);
            first = first == null ? settings : first;
            nodes[i] = new SimulatedNode(settings, clock, this, latency);
        }
    }

    /** All nodes come up, and load begins. */
    void start() {
        for (SimulatedNode node : nodes) {
            node.start(random.nextLong());
            clock.after(FIRST_LIST * random.nextDouble(), () -> node.servers(whole, true));
        }
        clock.after(FIRST_LIST, this::next);
    }

    void run(double milliseconds) {
        clock.to(clock.now() + milliseconds, between);
    }

    private void next() {
        clock.after(-1000 / (shape.rate * nodes.length) * Math.log(1 - random.nextDouble()), this::next);
        int customer = customers.pick(random);
        int first = CustomerPopulation.first(customer, nodes.length);
        int spread = Math.min(nodes.length, ScaleSettings.SPREAD);
        SimulatedNode node = nodes[(first + random.nextInt(spread)) % nodes.length];
        arrivals++;
        if (node.up()) { // the front takes it elsewhere in time; meanwhile it is lost with the node
            node.arrive(new IncomingRequest(
                    arrivals,
                    ScaleSettings.type(random.nextDouble()),
                    ScaleSettings.PLAN,
                    customers.name(customer),
                    ScaleSettings.DEADLINE,
                    1,
                    spread,
                    first,
                    false));
        }
    }

    long arrivals() {
        return arrivals;
    }

    /** Requests answered with a value so far. */
    long served() {
        long sum = 0;
        for (SimulatedNode node : nodes) {
            sum += node.served;
        }
        return sum;
    }

    /** Requests answered in any way, or given up, so far. */
    long ended() {
        long sum = 0;
        for (SimulatedNode node : nodes) {
            sum += node.served + node.refused + node.failed;
        }
        return sum;
    }

    /** Connections that nodes keep to each server. */
    long[] connections() {
        long[] sum = new long[hosts.length];
        for (SimulatedNode node : nodes) {
            node.kept().stream().forEach(i -> sum[i]++);
        }
        return sum;
    }

    // ---- discovery ----

    /** A change that each node hears at a time of its own, unless discovery is silent. */
    void change(List<EndpointDescriptor> entries) {
        for (SimulatedNode node : nodes) {
            double delay = shape.notice[0] + (shape.notice[1] - shape.notice[0]) * random.nextDouble();
            clock.after(delay, () -> {
                if (!discoverySilent) {
                    node.servers(entries, false);
                }
            });
        }
    }

    void silence(boolean discovery) {
        discoverySilent = discovery;
    }

    /** Regions lose each other: the counter is in the first one, and servers are reached within one's own. */
    void apart(boolean now) {
        apart = now;
    }

    /** Killed together, and back with nothing known after a while; the list and its changes are there. */
    void restart(SimulatedNode node, double away, List<EndpointDescriptor> changed) {
        node.kill();
        clock.after(away, () -> {
            node.start(random.nextLong());
            node.servers(whole, true);
            node.servers(changed, false);
        });
    }

    private boolean reach(SimulatedNode node, int zone) {
        return !apart || node.rank % shape.zones % shape.regions == zone % shape.regions;
    }

    // ---- what nodes meet ----

    @Override
    public void attempt(SimulatedNode node, SimulatedNode.Attempt a) {
        double work = -shape.service * Math.log(1 - random.nextDouble());
        clock.after(WAY / 2, () -> {
            SimulatedEndpoint host = hosts[a.server];
            boolean reached = reach(node, servers.zone(a.server));
            if (!reached || host.life == SimulatedEndpoint.Availability.SILENT) {
                clock.after(CONNECT_TIMEOUT, () -> node.ended(a, CallOutcome.NO_CONNECTION));
                return;
            }
            CallOutcome at = host.life == SimulatedEndpoint.Availability.REFUSES
                    ? CallOutcome.NO_CONNECTION
                    : host.take(work, () -> back(node, a, CallOutcome.OK));
            if (at != null) {
                back(node, a, at);
            }
        });
    }

    private void back(SimulatedNode node, SimulatedNode.Attempt a, CallOutcome outcome) {
        clock.after(WAY / 2, () -> node.ended(a, outcome));
    }

    @Override
    public void count(SimulatedNode node, long name, double amount) {
        if (reach(node, 0)) {
            counter.add(node, name, amount);
        } else {
            counter.silent(node, name);
        }
    }
}
