package quotagateway.scale;

import java.util.List;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.PolicySettings;

/**
 * A fleet of simulated nodes on one virtual clock, with simulated endpoints and one simulated counter. The load is an
 * open loop: requests arrive at random times drawn from one seed, whether or not earlier ones were served, and some
 * customers call much more than others. The same options, size and seed give the same run.
 */
final class SimulatedFleet implements SimulatedNode.Peers {
    /** The clock at the start of a run: a time like that of a real node, far from 0. */
    static final double START_MS = 1_700_000_000_000.0;
    /** The way to an endpoint and back. */
    private static final double ENDPOINT_ROUND_TRIP_MS = 0.5;

    /** How long a node waits for a connection that cannot be made. */
    private static final double CONNECT_TIMEOUT_MS = 250;
    /** Nodes get their first list at random within this time, so that they don't act in step. */
    private static final double FIRST_LIST_WITHIN_MS = 200;

    final VirtualClock clock = new VirtualClock(START_MS);
    final FleetOptions options;
    final EndpointInventory inventory;
    final SimulatedEndpoint[] endpoints;
    final SimulatedNode[] nodes;
    final SimulatedCounter counter;
    final Histogram latency = new Histogram(3);
    final SplittableRandom random;
    private final CustomerPopulation customers;
    private final Runnable beforeEachEvent;
    private final List<EndpointDescriptor> completeList;
    private long arrivals;
    private boolean regionsPartitioned;
    private boolean discoverySilent;

    /**
     * A fleet that has not started.
     *
     * @param size number of nodes
     * @param seed of all random draws
     * @param beforeEachEvent run before each event of the clock; ends the run by throwing
     */
    SimulatedFleet(FleetOptions options, int size, long seed, Runnable beforeEachEvent) {
        this.options = options;
        this.beforeEachEvent = beforeEachEvent;
        random = new SplittableRandom(seed);
        inventory = new EndpointInventory(options.endpointCount(size), options.zones);
        completeList = inventory.completeList();
        customers = new CustomerPopulation(options.customerCount(size), CustomerPopulation.SKEW);
        counter = new SimulatedCounter(clock, options.counterCallsPerSecond, options.counterRoundTripMs);
        endpoints = new SimulatedEndpoint[inventory.size()];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = new SimulatedEndpoint(options.endpointCapacity(), clock);
        }
        nodes = new SimulatedNode[size];
        PolicySettings shared = null;
        for (int i = 0; i < size; i++) {
            PolicySettings settings = ScaleSettings.settings(shared, i, size, options.zones);
            shared = shared == null ? settings : shared;
            nodes[i] = new SimulatedNode(settings, clock, this, latency);
        }
    }

    /** Starts all nodes, and the load once they have their first lists. */
    void start() {
        for (SimulatedNode node : nodes) {
            node.start(random.nextLong());
            clock.schedule(FIRST_LIST_WITHIN_MS * random.nextDouble(), () -> node.onEndpoints(completeList, true));
        }
        clock.schedule(FIRST_LIST_WITHIN_MS, this::scheduleNextRequest);
    }

    /** Moves the clock on, with all that happens meanwhile. */
    void run(double milliseconds) {
        clock.advanceTo(clock.now() + milliseconds, beforeEachEvent);
    }

    private void scheduleNextRequest() {
        clock.schedule(
                -1000 / (options.requestsPerSecond * nodes.length) * Math.log(1 - random.nextDouble()),
                this::scheduleNextRequest);
        int customer = customers.pick(random);
        int first = CustomerPopulation.firstNode(customer, nodes.length);
        int gatewayCount = Math.min(nodes.length, ScaleSettings.GATEWAYS_PER_CUSTOMER);
        SimulatedNode node = nodes[(first + random.nextInt(gatewayCount)) % nodes.length];
        arrivals++;
        if (node.isUp()) { // a load balancer would soon send it elsewhere; until then it is lost with the node
            node.onRequest(ScaleSettings.request(
                    arrivals,
                    ScaleSettings.requestClass(random.nextDouble()),
                    customers.name(customer),
                    gatewayCount,
                    first));
        }
    }

    /** Requests that have arrived so far, at nodes that are down too. */
    long arrivals() {
        return arrivals;
    }

    /** Requests served so far. */
    long served() {
        long sum = 0;
        for (SimulatedNode node : nodes) {
            sum += node.served;
        }
        return sum;
    }

    /** Requests served, rejected or failed so far. */
    long ended() {
        long sum = 0;
        for (SimulatedNode node : nodes) {
            sum += node.served + node.rejected + node.failed;
        }
        return sum;
    }

    /** How many nodes keep connections to each endpoint. */
    long[] connections() {
        long[] sum = new long[endpoints.length];
        for (SimulatedNode node : nodes) {
            node.retainedEndpoints().stream().forEach(i -> sum[i]++);
        }
        return sum;
    }

    // ---- discovery ----

    /** Tells each node of changed endpoints, after a delay of its own; none while discovery is silent. */
    void announceChange(List<EndpointDescriptor> changed) {
        for (SimulatedNode node : nodes) {
            double delay = options.minNoticeDelayMs()
                    + (options.maxNoticeDelayMs() - options.minNoticeDelayMs()) * random.nextDouble();
            clock.schedule(delay, () -> {
                if (!discoverySilent) {
                    node.onEndpoints(changed, false);
                }
            });
        }
    }

    /** Whether changes get lost on the way from here on. */
    void setDiscoverySilent(boolean silent) {
        discoverySilent = silent;
    }

    /**
     * Whether regions cannot reach each other: nodes then reach endpoints of their own region only, and only those of
     * the first one reach the counter.
     */
    void setRegionsPartitioned(boolean partitioned) {
        regionsPartitioned = partitioned;
    }

    /** Kills a node and starts it after a time (ms), with the first list and the changes that came since. */
    void restart(SimulatedNode node, double downMs, List<EndpointDescriptor> changed) {
        node.kill();
        clock.schedule(downMs, () -> {
            node.start(random.nextLong());
            node.onEndpoints(completeList, true);
            node.onEndpoints(changed, false);
        });
    }

    private boolean isReachable(SimulatedNode node, int zone) {
        return !regionsPartitioned || node.index % options.zones % options.regions == zone % options.regions;
    }

    // ---- peers of the nodes ----

    @Override
    public void sendAttempt(SimulatedNode node, SimulatedNode.Attempt attempt) {
        double serviceMs = -options.serviceMs * Math.log(1 - random.nextDouble());
        clock.schedule(ENDPOINT_ROUND_TRIP_MS / 2, () -> {
            SimulatedEndpoint endpoint = endpoints[attempt.endpoint];
            boolean reachable = isReachable(node, inventory.zone(attempt.endpoint));
            if (!reachable || endpoint.availability == SimulatedEndpoint.Availability.SILENT) {
                clock.schedule(CONNECT_TIMEOUT_MS, () -> node.onAttemptEnded(attempt, CallOutcome.NO_CONNECTION));
                return;
            }
            CallOutcome rejection = endpoint.availability == SimulatedEndpoint.Availability.REFUSING
                    ? CallOutcome.NO_CONNECTION
                    : endpoint.accept(serviceMs, () -> respond(node, attempt, CallOutcome.OK));
            if (rejection != null) {
                respond(node, attempt, rejection);
            }
        });
    }

    private void respond(SimulatedNode node, SimulatedNode.Attempt attempt, CallOutcome outcome) {
        clock.schedule(ENDPOINT_ROUND_TRIP_MS / 2, () -> node.onAttemptEnded(attempt, outcome));
    }

    @Override
    public void addToCounter(SimulatedNode node, long name, double amount) {
        if (isReachable(node, 0)) {
            counter.add(node, name, amount);
        } else {
            counter.loseCall(node, name);
        }
    }
}
