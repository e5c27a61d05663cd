package quotagateway.policy.golden;

import java.util.Random;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.api.RequestClass;

/** The simulated clients of all nodes: random arrivals on a load curve, and retries of some rejected requests. */
final class FakeClients {
    /** The load in each second, as a factor of the mean; the curve is repeated. */
    private static final double[] LOAD_CURVE = {1, 1, 1, 1, 3, 3, 0.3, 0.3, 1, 1.5, 0.05, 0.05, 1, 2};

    private static final int UNKNOWN_NAME_EVERY = 400;

    private final GoldenScenario scenario;
    private final Timeline timeline;
    private final Random random;
    private long nextRequestId = 1;

    FakeClients(GoldenScenario scenario, Timeline timeline, Random random) {
        this.scenario = scenario;
        this.timeline = timeline;
        this.random = random;
    }

    /** Sends requests to a node indefinitely; requests that arrive while its process is down are lost. */
    void scheduleRequests(FakeNode node, int index) {
        double load = LOAD_CURVE[(int) (timeline.now() / 1000) % LOAD_CURVE.length];
        double gapMs = -Math.log(1 - random.nextDouble()) * 1000 / (scenario.requestsPerSecond() * load);
        timeline.after(Math.min(gapMs, 1000), () -> {
            if (node.isRunning() && gapMs < 1000) {
                node.onRequest(request(index));
            }
            scheduleRequests(node, index);
        });
    }

    private IncomingRequest request(int node) {
        RequestClass requestClass = scenario.requestClasses()
                .get(random.nextInt(scenario.requestClasses().size()));
        QuotaPlan plan = scenario.plans().get(random.nextInt(scenario.plans().size()));
        // customers with low numbers send the most requests
        int customer = (int) (scenario.customersPerPlan() * random.nextDouble() * random.nextDouble());
        int gatewayCount = Math.min(scenario.nodeCount(), 1 + customer % 3 * (scenario.nodeCount() - 1) / 2);
        int firstGateway = Math.floorMod(node - random.nextInt(gatewayCount), scenario.nodeCount());
        double timeoutFraction = random.nextInt(3) > 0 ? 1 : 0.1 + 0.8 * random.nextDouble();
        return new IncomingRequest(
                nextRequestId++,
                random.nextInt(UNKNOWN_NAME_EVERY) == 0 ? "unknown" : requestClass.name(),
                random.nextInt(UNKNOWN_NAME_EVERY) == 0 ? "unknown" : plan.name(),
                "customer" + customer,
                requestClass.deadline() * timeoutFraction,
                1 + (int) (scenario.maxUnits() * random.nextDouble() * random.nextDouble()),
                gatewayCount,
                firstGateway,
                false);
    }

    /** One in three rejected clients retries, after a delay that depends on the retry-after time. */
    void onRejected(FakeNode node, IncomingRequest rejected, double retryAfterMs) {
        if (random.nextInt(3) > 0) {
            return;
        }
        double waitMs = Math.max(retryAfterMs / 4, 20) * (1 + random.nextDouble());
        node.later(
                waitMs,
                () -> node.onRequest(new IncomingRequest(
                        nextRequestId++,
                        rejected.requestClass(),
                        rejected.plan(),
                        rejected.customer(),
                        Math.max(50, rejected.clientTimeout() - waitMs),
                        rejected.units(),
                        rejected.gatewayCount(),
                        rejected.firstGateway(),
                        true)));
    }
}
