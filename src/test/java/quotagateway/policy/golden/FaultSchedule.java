package quotagateway.policy.golden;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import quotagateway.policy.api.EndpointState;

/** Injects faults and operations at random times: of endpoints, the counter, discovery, operators and nodes. */
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

    /** Schedules the next fault, which schedules its successor in turn, indefinitely. */
    void scheduleNext() {
        timeline.after(scenario.faultEveryMs() * (0.5 + random.nextDouble()), () -> {
            injectFault(random.nextInt(14));
            scheduleNext();
        });
    }

    private void injectFault(int kind) {
        String endpoint = FakeDiscovery.id(random.nextInt(scenario.endpoints()));
        switch (kind) {
            case 0, 1, 2 -> injectEndpointFault(endpoint);
            case 3 -> crashEndpoint(endpoint);
            case 4 -> rollingRestart();
            case 5, 6 -> cordonTemporarily(endpoint);
            case 7 -> fleet.nodes().forEach(this::restoreCordons);
            case 8, 9 -> injectCounterFault();
            case 10 -> fleet.counter().clearTotals();
            case 11 -> injectDiscoveryOutage();
            case 12 -> restartNode();
            default -> removeThirdOfEndpoints();
        }
    }

    private double randomBetween(double minMs, double maxMs) {
        return minMs + (maxMs - minMs) * random.nextDouble();
    }

    private void injectEndpointFault(String id) {
        FakeEndpoint endpoint = fleet.endpoint(id);
        endpoint.setMode(ENDPOINT_FAULTS[random.nextInt(ENDPOINT_FAULTS.length)]);
        timeline.after(randomBetween(200, 4000), () -> endpoint.setMode(FakeEndpoint.Mode.HEALTHY));
    }

    /** Ends an endpoint's process and starts a new one, which discovery reports later. */
    private void crashEndpoint(String id) {
        fleet.endpoint(id).setMode(FakeEndpoint.Mode.REFUSING);
        fleet.nodes().forEach(node -> node.resetConnections(id));
        timeline.after(randomBetween(200, 1500), () -> {
            fleet.endpoint(id).restart();
            double startedAt = timeline.now();
            timeline.after(300, () -> fleet.discovery().change(List.of(id), EndpointState.UP, startedAt));
        });
    }

    /** Drains and removes a twentieth of the endpoints, at least one, and lists them again as new processes. */
    private void rollingRestart() {
        List<String> ids = consecutiveEndpoints(scenario.endpoints() / 20 + 1);
        fleet.discovery().change(ids, EndpointState.DRAINING, 0);
        timeline.after(2000, () -> {
            fleet.discovery().change(ids, EndpointState.REMOVED, 0);
            ids.forEach(id -> fleet.endpoint(id).setMode(FakeEndpoint.Mode.REFUSING));
        });
        timeline.after(randomBetween(2500, 4000), () -> {
            ids.forEach(id -> fleet.endpoint(id).restart());
            fleet.discovery().change(ids, EndpointState.UP, timeline.now());
        });
    }

    private List<String> consecutiveEndpoints(int count) {
        List<String> ids = new ArrayList<>();
        int first = random.nextInt(scenario.endpoints());
        for (int step = 0; step < count; step++) {
            ids.add(FakeDiscovery.id((first + step) % scenario.endpoints()));
        }
        return ids;
    }

    private void cordonTemporarily(String id) {
        setCordoned(id, true);
        timeline.after(randomBetween(500, 5000), () -> setCordoned(id, false));
    }

    private void setCordoned(String id, boolean shouldBeCordoned) {
        if (shouldBeCordoned ? !cordoned.add(id) : !cordoned.remove(id)) {
            return;
        }
        for (FakeNode node : fleet.nodes()) {
            node.later(randomBetween(0, 100), () -> node.policy().setCordoned(timeline.now(), id, shouldBeCordoned));
        }
    }

    private void restoreCordons(FakeNode node) {
        if (node.isRunning()) {
            node.restoreCordons(new LinkedHashSet<>(cordoned));
        }
    }

    private void injectCounterFault() {
        fleet.counter().setMode(COUNTER_FAULTS[random.nextInt(COUNTER_FAULTS.length)]);
        timeline.after(randomBetween(100, 4000), () -> fleet.counter().setMode(FakeCounter.Mode.HEALTHY));
    }

    private void injectDiscoveryOutage() {
        fleet.discovery().fail();
        timeline.after(randomBetween(500, 3000), fleet.discovery()::recover);
    }

    private void restartNode() {
        FakeNode node = fleet.nodes().get(random.nextInt(fleet.nodes().size()));
        if (node.isRunning()) {
            node.kill();
            timeline.after(randomBetween(50, 500), () -> {
                fleet.start(node);
                restoreCordons(node);
            });
        }
    }

    /** Removes a third of the endpoints at the same time, and later lists them again together. */
    private void removeThirdOfEndpoints() {
        List<String> ids = consecutiveEndpoints(scenario.endpoints() / 3);
        fleet.discovery().change(ids, EndpointState.REMOVED, 0);
        timeline.after(randomBetween(1000, 3000), () -> fleet.discovery().change(ids, EndpointState.UP, 0));
    }
}
