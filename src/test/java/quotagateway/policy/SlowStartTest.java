package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.Capabilities;
import quotagateway.policy.api.CostWeights;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.policy.api.ServiceRules;

/**
 * Tests what a fleet of gateways together sends to an endpoint in slow start: in no overload window of the settings
 * more than N + 2 x sqrt(N) + 2, where N is the overload factor times the least capacity that the settings give the
 * endpoint at that time.
 */
class SlowStartTest {
    private static ServiceRules rules(double warmAfter) {
        return new ServiceRules(16, 250, 0.25, warmAfter, 3, 1000);
    }

    private record Event(double at, long serial, Runnable task) {}

    /** A fleet of policies on one clock, with endpoints that queue requests. Records what is sent to each endpoint. */
    private static final class Fleet {
        final int size;
        final ServiceRules rules;
        final Random random;
        final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::serial));
        final SimulatedGateway[] gateways;
        final double[] weight;
        final Map<String, SimulatedEndpoint> endpoints = new HashMap<>();
        final List<EndpointDescriptor> list = new ArrayList<>();
        final double capacity;
        double now;
        double requestsPerSecond;
        double worstLoadRatio;
        long serial;
        long requests;
        long served;

        /**
         * @param capacity requests per second that a warm endpoint can serve
         * @param utilization the fraction of its capacity that each endpoint is used at
         */
        Fleet(ServiceRules rules, int size, int endpointCount, double capacity, double utilization) {
            this.rules = rules;
            this.size = size;
            this.capacity = capacity;
            random = new Random(size + endpointCount);
            requestsPerSecond = utilization * capacity * endpointCount;
            gateways = new SimulatedGateway[size];
            weight = new double[size];
            for (int i = 0; i < endpointCount; i++) {
                list.add(descriptor(i, EndpointState.UP, 0));
                endpoints.put("s" + i, new SimulatedEndpoint());
            }
            for (int i = 0; i < size; i++) {
                restart(i);
            }
            redistributeTraffic();
            scheduleNextRequest();
        }

        static EndpointDescriptor descriptor(int i, EndpointState state, double startedAt) {
            return new EndpointDescriptor("s" + i, i / 4, "z" + i % 3, state, "k", startedAt, 1, 0);
        }

        void schedule(double time, Runnable task) {
            events.add(new Event(Math.max(time, now), serial++, task));
        }

        void advanceTo(double time) {
            while (events.peek().at <= time) {
                Event event = events.poll();
                now = event.at;
                event.task.run();
            }
            now = time;
        }

        /** Redistributes the requests every 4 s: some gateways get several times the mean, others almost none. */
        void redistributeTraffic() {
            for (int i = 0; i < size; i++) {
                weight[i] = Math.exp(1.2 * random.nextGaussian());
            }
            schedule(now + 4000, this::redistributeTraffic);
        }

        private void scheduleNextRequest() {
            schedule(now - Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond, () -> {
                double point = random.nextDouble() * Arrays.stream(weight).sum();
                int i = 0;
                while (i < size - 1 && (point -= weight[i]) >= 0) {
                    i++;
                }
                requests++;
                gateways[i].policy.onRequest(
                        now,
                        new IncomingRequest(
                                serial++, "read", "any", "c" + serial % 50, 90_000 / capacity, 1, 1, i, false));
                scheduleNextRequest();
            });
        }

        /** Replaces a gateway by a new process, which knows only the endpoint list. */
        void restart(int i) {
            gateways[i] = new SimulatedGateway(this, i);
            gateways[i].policy.onEndpoints(now, list, true);
        }

        void updateEndpoint(EndpointDescriptor endpoint) {
            int i = Integer.parseInt(endpoint.id().substring(1));
            list.set(i, endpoint);
            for (SimulatedGateway gateway : gateways) {
                gateway.policy.onEndpoints(now, List.of(endpoint), false);
            }
        }

        /** Restarts endpoints: they are listed again immediately and are in slow start. */
        void restartEndpoints(int from, int to) {
            for (int i = from; i < to; i++) {
                endpoints.get("s" + i).startedAt = now;
                updateEndpoint(descriptor(i, EndpointState.UP, now));
            }
        }

        void removeEndpoints(int from, int to) {
            for (int i = from; i < to; i++) {
                updateEndpoint(descriptor(i, EndpointState.REMOVED, 0));
            }
        }

        void onSend(SimulatedGateway gateway, long id, String endpoint) {
            SimulatedEndpoint target = endpoints.get(endpoint);
            target.sends.add(now);
            while (target.sends.peek() <= now - rules.overloadWindow()) {
                target.sends.poll();
            }
            double age = now - target.startedAt;
            double warmupFraction = Math.min(1, age / rules.slowStartDuration());
            double currentCapacity =
                    capacity * (rules.slowStartInitialShare() + (1 - rules.slowStartInitialShare()) * warmupFraction);
            if (age < rules.slowStartDuration()) {
                double n = rules.overloadFactor() * currentCapacity * rules.overloadWindow() / 1000;
                long sendsSinceStart =
                        target.sends.stream().filter(t -> t >= target.startedAt).count();
                worstLoadRatio = Math.max(worstLoadRatio, sendsSinceStart / (n + 2 * Math.sqrt(n) + 2));
            }
            // An attempt waits in the queue and then takes its service time. With more than 3 s of work queued the
            // endpoint rejects the attempt.
            double serviceMs = -Math.log(1 - random.nextDouble()) * 1000 / currentCapacity;
            boolean full = target.idleAt > now + 3000;
            target.idleAt = full ? target.idleAt : Math.max(target.idleAt, now) + serviceMs;
            double sentAt = now;
            schedule(full ? now + 1 : target.idleAt + 3000 / capacity, () -> {
                served += full ? 0 : 1;
                gateway.policy.onAttemptEnded(
                        now,
                        id,
                        gateway.attempts.merge(id, 1, Integer::sum) - 1,
                        full ? CallOutcome.FULL : CallOutcome.OK,
                        now - sentAt,
                        !full,
                        0,
                        new double[0]);
            });
        }
    }

    private static final class SimulatedEndpoint {
        final ArrayDeque<Double> sends = new ArrayDeque<>();
        double startedAt = Double.NEGATIVE_INFINITY;
        double idleAt;
    }

    /** A gateway. A process that was replaced still gets its responses, which have no effect. */
    private static final class SimulatedGateway implements PolicyActions {
        final Fleet fleet;
        final Policy policy;
        final Map<Long, Integer> attempts = new HashMap<>();

        SimulatedGateway(Fleet fleet, int index) {
            this.fleet = fleet;
            RequestClass read = new RequestClass(
                    "read",
                    Idempotency.IDEMPOTENT,
                    RetryScope.ALL,
                    30_000 / fleet.capacity,
                    90_000 / fleet.capacity,
                    1,
                    0,
                    0,
                    false);
            policy = new Policy(
                    new PolicySettings(
                            index,
                            fleet.size,
                            "z" + index % 3,
                            4,
                            false,
                            false,
                            1,
                            List.of(),
                            List.of(read),
                            List.of(new QuotaPlan("any", 0, 0, 0, 1, 0, 1, 0, 0, 0)),
                            new Capabilities(false, true, false, true, false, false, 3, 1000, 50),
                            fleet.rules,
                            new CostWeights(0.05, 0, 0, 0, 0)),
                    fleet.random.nextLong(),
                    fleet.now,
                    this);
        }

        private boolean isRunning() {
            return policy != null && Arrays.asList(fleet.gateways).contains(this);
        }

        @Override
        public void sendAttempt(long id, String endpoint, double timeoutAt) {
            fleet.onSend(this, id, endpoint);
        }

        @Override
        public void scheduleTimer(double delay, long token) {
            fleet.schedule(fleet.now + delay + 0.001, () -> {
                if (isRunning()) {
                    policy.onTimer(fleet.now, token);
                }
            });
        }

        @Override
        public void cancelAttempt(long id, int attempt) {}

        @Override
        public void reject(long id, double retryAfter) {}

        @Override
        public void fail(long id) {}

        @Override
        public void checkHealth(String endpoint) {}

        @Override
        public void addToCounter(long name, double amount, double keepFor) {}

        @Override
        public void subscribeToEndpoints() {}
    }

    private enum Disruption {
        THIRD_RESTARTED,
        ALL_RESTARTED,
        ALL_BUT_ONE_RESTARTED,
        RETURNED_ONE_BY_ONE,
        OTHERS_REMOVED,
        UNCORDONED
    }

    /** Simulates a disruption at 20 s and an increase of the load by half 2 s later. */
    private static Fleet simulate(
            Disruption disruption, int gatewayCount, int endpointCount, double capacity, boolean restarts) {
        Fleet fleet = new Fleet(rules(13_000), gatewayCount, endpointCount, capacity, 0.5);
        fleet.advanceTo(20_000);
        int third = endpointCount / 3;
        switch (disruption) {
            case THIRD_RESTARTED -> fleet.restartEndpoints(0, third);
            case ALL_RESTARTED -> fleet.restartEndpoints(0, endpointCount);
            case ALL_BUT_ONE_RESTARTED -> fleet.restartEndpoints(1, endpointCount);
            case RETURNED_ONE_BY_ONE -> {
                fleet.removeEndpoints(1, endpointCount);
                for (int i = 1; i < endpointCount; i++) {
                    int number = i;
                    fleet.schedule(fleet.now + 3000 + 400 * i, () -> fleet.restartEndpoints(number, number + 1));
                }
            }
            case OTHERS_REMOVED -> {
                fleet.restartEndpoints(0, third);
                fleet.schedule(fleet.now + 3000, () -> fleet.removeEndpoints(third, endpointCount));
            }
            default -> {
                fleet.restartEndpoints(0, third);
                for (int i = 0; i < third * gatewayCount; i++) {
                    fleet.gateways[i / third].policy.setCordoned(fleet.now, "s" + i % third, true);
                    fleet.gateways[i / third].policy.setCordoned(fleet.now, "s" + i % third, false);
                }
            }
        }
        fleet.schedule(fleet.now + 2000, () -> fleet.requestsPerSecond *= 1.5);
        for (int i = 0; restarts && i < gatewayCount; i++) { // half of them together, the others in turn; all twice
            int gatewayIndex = i;
            fleet.schedule(fleet.now + (i % 2 == 0 ? 600 : 600 + 100 * i), () -> fleet.restart(gatewayIndex));
            fleet.schedule(fleet.now + (i % 2 == 0 ? 4200 : 4200 + 120 * i), () -> fleet.restart(gatewayIndex));
        }
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 5, 20, 30})
    void allGatewaysTogetherDoNotOverloadAnEndpointInSlowStart(int gatewayCount) {
        for (Disruption disruption : Disruption.values()) {
            for (int endpointCount : new int[] {12, 36}) {
                for (double capacity : new double[] {4, 20}) {
                    for (boolean restarts : new boolean[] {false, true}) {
                        Fleet fleet = simulate(disruption, gatewayCount, endpointCount, capacity, restarts);
                        fleet.advanceTo(36_000);
                        String message = String.format(
                                "%s, %d endpoints of %.0f requests/s, gateway restarts %b: %.2f of the allowed sends",
                                disruption, endpointCount, capacity, restarts, fleet.worstLoadRatio);
                        assertTrue(fleet.worstLoadRatio > 0 && fleet.worstLoadRatio <= 1, message);
                    }
                }
            }
        }
    }

    /**
     * While other endpoints are faster, each gateway accrues a send to each endpoint in slow start. The gateways must
     * not spend these sends at the same time when the other endpoints are removed.
     */
    @ParameterizedTest
    @ValueSource(doubles = {1, 12})
    void unusedBudgetsOfAllGatewaysAreNotSpentSimultaneously(double capacity) {
        Fleet fleet = new Fleet(rules(60_000), 30, 24, capacity, 0.7);
        fleet.advanceTo(20_000);
        fleet.restartEndpoints(0, 6);
        fleet.advanceTo(45_000);
        fleet.requestsPerSecond *= 1.5;
        fleet.removeEndpoints(6, 24);
        fleet.advanceTo(50_000);
        assertTrue(
                fleet.worstLoadRatio > 0 && fleet.worstLoadRatio <= 1,
                "ratio to the allowed sends: " + fleet.worstLoadRatio);
    }

    @Test
    void budgetAlsoHoldsWithManyEndpoints() {
        for (Disruption disruption : List.of(Disruption.THIRD_RESTARTED, Disruption.OTHERS_REMOVED)) {
            Fleet fleet = simulate(disruption, 30, 300, 4, true);
            fleet.advanceTo(28_000);
            assertTrue(
                    fleet.worstLoadRatio > 0 && fleet.worstLoadRatio <= 1,
                    disruption + ", ratio to the allowed sends: " + fleet.worstLoadRatio);
        }
    }

    /**
     * The load is three quarters of the warm capacity. By the settings the endpoints have about half of their capacity
     * after 4 s and all of it after 13 s.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 5, 20, 30})
    void endpointsThatAreAllInSlowStartAreUsed(int gatewayCount) {
        Fleet fleet = simulate(Disruption.ALL_RESTARTED, gatewayCount, 12, 12, false);
        fleet.advanceTo(24_000);
        long requests = fleet.requests;
        long served = fleet.served;
        fleet.advanceTo(36_000);
        assertTrue(
                fleet.served - served > 0.6 * (fleet.requests - requests),
                fleet.served - served + " requests served of " + (fleet.requests - requests));
    }
}
