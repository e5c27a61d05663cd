package quotagateway.policy.golden;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import quotagateway.policy.api.EndpointState;

/** Faults and operations at random times: of endpoints, the counter, discovery, operators and nodes. */
final class FaultSchedule {
    private static final FakeEndpoint.Mode[] ENDPOINT_FAULTS = {
        FakeEndpoint.Mode.SLOW,
        FakeEndpoint.Mode.ERROR,
        FakeEndpoint.Mode.FULL,
        FakeEndpoint.Mode.SILENT,
        FakeEndpoint.Mode.REFUSING,
        FakeEndpoint.Mode.RESETTING
    };

    private static final FakeCounter.Mode[] COUNTER_FAULTS = {
        FakeCounter.Mode.LATE,
        FakeCounter.Mode.SILENT,
        FakeCounter.Mode.FULL,
        FakeCounter.Mode.ERROR,
        FakeCounter.Mode.RESET
    };

    private final GoldenScenario scenario;
    private final FakeFleet fleet;
    private final Timeline timeline;
    private final Random random;
    private final Set<String> cordoned = new LinkedHashSet<>();

    FaultSchedule(GoldenScenario scenario, FakeFleet fleet) {
        this.scenario = scenario;
        this.fleet = fleet;
        timeline = fleet.timeline();
        random = fleet.random();
    }

    /** Lets faults happen for ever. */
    void begin() {
        timeline.after(scenario.faultEveryMs() * (0.5 + random.nextDouble()), () -> {
            happen(random.nextInt(14));
            begin();
        });
    }

    private void happen(int kind) {
        String endpoint = FakeDiscovery.id(random.nextInt(scenario.endpoints()));
        switch (kind) {
            case 0, 1, 2 -> disturbEndpoint(endpoint);
            case 3 -> crash(endpoint);
            case 4 -> roll();
            case 5, 6 -> cordon(endpoint);
            case 7 -> fleet.nodes().forEach(this::restoreCordons);
            case 8, 9 -> disturbCounter();
            case 10 -> fleet.counter().loseTotals();
            case 11 -> interruptDiscovery();
            case 12 -> restartNode();
            default -> shrinkFleet();
        }
    }

    private double between(double leastMs, double mostMs) {
        return leastMs + (mostMs - leastMs) * random.nextDouble();
    }

    private void disturbEndpoint(String id) {
        FakeEndpoint endpoint = fleet.endpoint(id);
        endpoint.setMode(ENDPOINT_FAULTS[random.nextInt(ENDPOINT_FAULTS.length)]);
        timeline.after(between(200, 4000), () -> endpoint.setMode(FakeEndpoint.Mode.HEALTHY));
    }

    /** The process dies and a new one starts; discovery tells of it later. */
    private void crash(String id) {
        fleet.endpoint(id).setMode(FakeEndpoint.Mode.REFUSING);
        fleet.nodes().forEach(node -> node.breakConnections(id));
        timeline.after(between(200, 1500), () -> {
            fleet.endpoint(id).restart();
            double startedAt = timeline.now();
            timeline.after(300, () -> fleet.discovery().change(List.of(id), EndpointState.UP, startedAt));
        });
    }

    /** A twentieth of the endpoints, one at least, drains, leaves and comes back as new processes. */
    private void roll() {
        List<String> ids = someEndpoints(scenario.endpoints() / 20 + 1);
        fleet.discovery().change(ids, EndpointState.DRAINING, 0);
        timeline.after(2000, () -> {
            fleet.discovery().change(ids, EndpointState.REMOVED, 0);
            ids.forEach(id -> fleet.endpoint(id).setMode(FakeEndpoint.Mode.REFUSING));
        });
        timeline.after(between(2500, 4000), () -> {
            ids.forEach(id -> fleet.endpoint(id).restart());
            fleet.discovery().change(ids, EndpointState.UP, timeline.now());
        });
    }

    private List<String> someEndpoints(int count) {
        List<String> ids = new ArrayList<>();
        int first = random.nextInt(scenario.endpoints());
        for (int step = 0; step < count; step++) {
            ids.add(FakeDiscovery.id((first + step) % scenario.endpoints()));
        }
        return ids;
    }

    private void cordon(String id) {
        setCordoned(id, true);
        timeline.after(between(500, 5000), () -> setCordoned(id, false));
    }

    private void setCordoned(String id, boolean out) {
        if (out ? !cordoned.add(id) : !cordoned.remove(id)) {
            return;
        }
        for (FakeNode node : fleet.nodes()) {
            node.later(between(0, 100), () -> node.policy().setCordoned(timeline.now(), id, out));
        }
    }

    private void restoreCordons(FakeNode node) {
        if (node.isRunning()) {
            node.restoreCordons(new LinkedHashSet<>(cordoned));
        }
    }

    private void disturbCounter() {
        fleet.counter().setMode(COUNTER_FAULTS[random.nextInt(COUNTER_FAULTS.length)]);
        timeline.after(between(100, 4000), () -> fleet.counter().setMode(FakeCounter.Mode.HEALTHY));
    }

    private void interruptDiscovery() {
        fleet.discovery().fail();
        timeline.after(between(500, 3000), fleet.discovery()::recover);
    }

    private void restartNode() {
        FakeNode node = fleet.nodes().get(random.nextInt(fleet.nodes().size()));
        if (node.isRunning()) {
            node.kill();
            timeline.after(between(50, 500), () -> {
                fleet.start(node);
                restoreCordons(node);
            });
        }
    }

    /** A third of the endpoints vanishes at once and comes back together. */
    private void shrinkFleet() {
        List<String> ids = someEndpoints(scenario.endpoints() / 3);
        fleet.discovery().change(ids, EndpointState.REMOVED, 0);
        timeline.after(between(1000, 3000), () -> fleet.discovery().change(ids, EndpointState.UP, 0));
    }
}
