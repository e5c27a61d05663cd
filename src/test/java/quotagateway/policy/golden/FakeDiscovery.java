package quotagateway.policy.golden;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;

/**
 * Simulated discovery: sends the endpoint list to each node after a random delay, as a complete list, in parts, or as
 * changes.
 */
final class FakeDiscovery {
    /** Endpoints in each part of a list that comes in parts. */
    private static final int PART_SIZE = 100;

    private static final double MAX_DELAY_MS = 200;

    private final GoldenScenario scenario;
    private final Timeline timeline;
    private final Random random;
    private final TreeMap<String, EndpointDescriptor> endpoints = new TreeMap<>();
    private final Set<FakeNode> subscribers = new LinkedHashSet<>();
    private boolean available = true;

    FakeDiscovery(GoldenScenario scenario, Timeline timeline, Random random) {
        this.scenario = scenario;
        this.timeline = timeline;
        this.random = random;
        for (int number = 0; number < scenario.endpoints(); number++) {
            int cell = number / 4;
            String zone = "zone" + cell % scenario.zones();
            endpoints.put(
                    id(number),
                    new EndpointDescriptor(id(number), cell, zone, EndpointState.UP, "standard", 0, 1, number + 1));
        }
    }

    static String id(int number) {
        return "endpoint" + number;
    }

    /** Subscribes a process at its start if the scenario needs no subscriptions; otherwise it subscribes itself. */
    void onNodeStarted(FakeNode node) {
        subscribers.remove(node);
        if (!scenario.mustSubscribe()) {
            subscribe(node);
        }
    }

    void subscribe(FakeNode node) {
        if (available) {
            subscribers.add(node);
            node.later(random.nextDouble() * MAX_DELAY_MS, () -> sendCompleteList(node));
        } else {
            node.later(20, () -> node.policy().onDiscoveryFailed(timeline.now()));
        }
    }

    /** Begins an outage: subscriptions end, and changes are sent only after the outage. */
    void fail() {
        available = false;
        for (FakeNode node : List.copyOf(subscribers)) {
            node.later(random.nextDouble() * MAX_DELAY_MS, () -> node.policy().onDiscoveryFailed(timeline.now()));
        }
        if (scenario.mustSubscribe()) {
            subscribers.clear();
        }
    }

    void recover() {
        available = true;
        List.copyOf(subscribers).forEach(this::subscribe);
    }

    /** Changes the state of endpoints and notifies the subscribers. */
    void change(List<String> ids, EndpointState state, double startedAt) {
        List<EndpointDescriptor> changed = new ArrayList<>();
        for (String id : ids) {
            EndpointDescriptor previous = endpoints.get(id);
            changed.add(new EndpointDescriptor(
                    id,
                    previous.cell(),
                    previous.zone(),
                    state,
                    previous.kind(),
                    Math.max(startedAt, previous.startedAt()),
                    previous.weight(),
                    previous.address()));
        }
        changed.forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        if (available) {
            for (FakeNode node : subscribers) {
                node.later(
                        random.nextDouble() * MAX_DELAY_MS,
                        () -> node.policy().onEndpoints(timeline.now(), changed, false));
            }
        }
    }

    private void sendCompleteList(FakeNode node) {
        List<EndpointDescriptor> listed = endpoints.values().stream()
                .filter(endpoint -> endpoint.state() != EndpointState.REMOVED)
                .toList();
        if (listed.size() <= PART_SIZE) {
            node.policy().onEndpoints(timeline.now(), listed, true);
            return;
        }
        node.policy().onEndpointListStarted(timeline.now());
        int parts = (listed.size() + PART_SIZE - 1) / PART_SIZE;
        for (int part = 0; part < parts; part++) {
            List<EndpointDescriptor> partOfList =
                    listed.subList(part * PART_SIZE, Math.min(listed.size(), (part + 1) * PART_SIZE));
            node.later(5.0 * part, () -> node.policy().onEndpoints(timeline.now(), partOfList, false));
        }
        node.later(5.0 * parts, () -> node.policy().onEndpointListCompleted(timeline.now()));
    }
}
