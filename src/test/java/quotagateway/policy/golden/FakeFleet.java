package quotagateway.policy.golden;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import quotagateway.policy.api.IncomingRequest;

/** The nodes of a scenario and their simulated peers, on one timeline and with one source of random numbers. */
final class FakeFleet {
    private final GoldenScenario scenario;
    private final Timeline timeline;
    private final Random random;
    private final Transcript transcript;
    private final FakeCounter counter;
    private final FakeDiscovery discovery;
    private final FakeClients clients;
    private final List<FakeNode> nodes = new ArrayList<>();
    private final Map<String, FakeEndpoint> endpoints = new HashMap<>();

    FakeFleet(GoldenScenario scenario, Transcript transcript) {
        this.scenario = scenario;
        this.transcript = transcript;
        timeline = new Timeline(scenario.wholeMilliseconds());
        random = new Random(scenario.seed());
        counter = new FakeCounter(timeline, random, scenario);
        discovery = new FakeDiscovery(scenario, timeline, random);
        clients = new FakeClients(scenario, timeline, random);
    }

    /** Runs the complete scenario. */
    void run() {
        for (int number = 0; number < scenario.endpoints(); number++) {
            endpoints.put(FakeDiscovery.id(number), new FakeEndpoint(timeline, random, scenario));
        }
        for (int index = 0; index < scenario.runningNodes(); index++) {
            FakeNode node = new FakeNode(scenario, index, this, transcript);
            nodes.add(node);
            start(node);
            clients.scheduleRequests(node, index);
        }
        new FaultSchedule(scenario, this).scheduleNext();
        for (int second = 0; second < scenario.seconds(); second++) {
            timeline.runUntil(1000.0 * (second + 1));
            for (FakeNode node : nodes) {
                if (node.isRunning()) {
                    node.policy().endpointCount();
                    node.policy().unavailableEndpointCount(timeline.now());
                }
            }
            transcript.endSecond();
        }
    }

    /** Starts a process of a node. */
    void start(FakeNode node) {
        node.start();
        discovery.onNodeStarted(node);
    }

    void onRejected(FakeNode node, IncomingRequest rejected, double retryAfterMs) {
        clients.onRejected(node, rejected, retryAfterMs);
    }

    FakeEndpoint endpoint(String id) {
        return endpoints.get(id);
    }

    List<FakeNode> nodes() {
        return nodes;
    }

    Timeline timeline() {
        return timeline;
    }

    Random random() {
        return random;
    }

    FakeCounter counter() {
        return counter;
    }

    FakeDiscovery discovery() {
        return discovery;
    }
}
