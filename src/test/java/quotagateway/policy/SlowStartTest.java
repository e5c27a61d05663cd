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
 * What a whole fleet sends to a cold server: in no span of the settings' length more than
 * N + 2 x root of N + 2, N being the factor times the least that the settings let it do at that moment.
 */
class SlowStartTest {
    private static ServiceRules rules(double warmAfter) {
        return new ServiceRules(16, 250, 0.25, warmAfter, 3, 1000);
    }

    private record Event(double at, long serial, Runnable what) {}

    /** Modules on one clock before servers that queue; what each server was sent is kept. */
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
        double perSecond;
        double worst;
        long serial;
        long asked;
        long served;

        /** Servers that are busy by the part `use` of what each can do warm: `capacity` a second. */
        Fleet(ServiceRules rules, int size, int servers, double capacity, double use) {
            this.rules = rules;
            this.size = size;
            this.capacity = capacity;
            random = new Random(size + servers);
            perSecond = use * capacity * servers;
            gateways = new SimulatedGateway[size];
            weight = new double[size];
            for (int i = 0; i < servers; i++) {
                list.add(server(i, EndpointState.UP, 0));
                endpoints.put("s" + i, new SimulatedEndpoint());
            }
            for (int i = 0; i < size; i++) {
                restart(i);
            }
            shift();
            next();
        }

        static EndpointDescriptor server(int i, EndpointState state, double startedAt) {
            return new EndpointDescriptor("s" + i, i / 4, "z" + i % 3, state, "k", startedAt, 1, 0);
        }

        void at(double time, Runnable what) {
            events.add(new Event(Math.max(time, now), serial++, what));
        }

        void to(double time) {
            while (events.peek().at <= time) {
                Event e = events.poll();
                now = e.at;
                e.what.run();
            }
            now = time;
        }

        /** Some nodes see several times the mean, others next to nothing; which ones, shifts. */
        void shift() {
            for (int i = 0; i < size; i++) {
                weight[i] = Math.exp(1.2 * random.nextGaussian());
            }
            at(now + 4000, this::shift);
        }

        private void next() {
            at(now - Math.log(1 - random.nextDouble()) * 1000 / perSecond, () -> {
                double point = random.nextDouble() * Arrays.stream(weight).sum();
                int i = 0;
                while (i < size - 1 && (point -= weight[i]) >= 0) {
                    i++;
                }
                asked++;
                gateways[i].policy.onRequest(
                        now,
                        new IncomingRequest(
                                serial++, "read", "any", "c" + serial % 50, 90_000 / capacity, 1, 1, i, false));
                next();
            });
        }

        /** A new process, which knows the list alone. */
        void restart(int i) {
            gateways[i] = new SimulatedGateway(this, i);
            gateways[i].policy.onEndpoints(now, list, true);
        }

        void tell(EndpointDescriptor s) {
            int i = Integer.parseInt(s.id().substring(1));
            list.set(i, s);
            for (SimulatedGateway e : gateways) {
                e.policy.onEndpoints(now, List.of(s), false);
            }
        }

        /** Ends, and is back at once, cold. */
        void cold(int from, int to) {
            for (int i = from; i < to; i++) {
                endpoints.get("s" + i).started = now;
                tell(server(i, EndpointState.UP, now));
            }
        }

        void gone(int from, int to) {
            for (int i = from; i < to; i++) {
                tell(server(i, EndpointState.REMOVED, 0));
            }
        }

        void sent(SimulatedGateway gateway, long id, String server) {
            SimulatedEndpoint p = endpoints.get(server);
            p.sends.add(now);
            while (p.sends.peek() <= now - rules.overloadWindow()) {
                p.sends.poll();
            }
            double age = now - p.started;
            double warm = Math.min(1, age / rules.slowStartDuration());
            double able = capacity * (rules.slowStartInitialShare() + (1 - rules.slowStartInitialShare()) * warm);
            if (age < rules.slowStartDuration()) {
                double n = rules.overloadFactor() * able * rules.overloadWindow() / 1000;
                long told = p.sends.stream().filter(t -> t >= p.started).count();
                worst = Math.max(worst, told / (n + 2 * Math.sqrt(n) + 2));
            }
            // the line in front of it, then its own work: at three times its capacity in line it turns away
            double work = -Math.log(1 - random.nextDouble()) * 1000 / able;
            boolean full = p.free > now + 3000;
            p.free = full ? p.free : Math.max(p.free, now) + work;
            double sentAt = now;
            at(full ? now + 1 : p.free + 3000 / capacity, () -> {
                served += full ? 0 : 1;
                gateway.policy.onAttemptEnded(
                        now,
                        id,
                        gateway.tries.merge(id, 1, Integer::sum) - 1,
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
        double started = Double.NEGATIVE_INFINITY;
        double free;
    }

    /** A node; a process that has gone still gets its answers, and they count for nothing. */
    private static final class SimulatedGateway implements PolicyActions {
        final Fleet fleet;
        final Policy policy;
        final Map<Long, Integer> tries = new HashMap<>();

        SimulatedGateway(Fleet fleet, int me) {
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
                            me,
                            fleet.size,
                            "z" + me % 3,
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

        private boolean runs() {
            return policy != null && Arrays.asList(fleet.gateways).contains(this);
        }

        @Override
        public void sendAttempt(long id, String server, double timeoutAt) {
            fleet.sent(this, id, server);
        }

        @Override
        public void scheduleTimer(double delay, long token) {
            fleet.at(fleet.now + delay + 0.001, () -> {
                if (runs()) {
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
        public void checkHealth(String server) {}

        @Override
        public void addToCounter(long name, double amount, double keepFor) {}

        @Override
        public void subscribeToEndpoints() {}
    }

    private enum Trouble {
        A_THIRD_COLD,
        ALL_COLD,
        ALL_BUT_ONE_COLD,
        BACK_ONE_BY_ONE,
        REST_LOST,
        PUT_BACK
    }

    /** The trouble comes at 20 s, a burst of half as much again 2 s later. */
    private static Fleet play(Trouble trouble, int nodes, int servers, double capacity, boolean restarts) {
        Fleet fleet = new Fleet(rules(13_000), nodes, servers, capacity, 0.5);
        fleet.to(20_000);
        int third = servers / 3;
        switch (trouble) {
            case A_THIRD_COLD -> fleet.cold(0, third);
            case ALL_COLD -> fleet.cold(0, servers);
            case ALL_BUT_ONE_COLD -> fleet.cold(1, servers);
            case BACK_ONE_BY_ONE -> {
                fleet.gone(1, servers);
                for (int i = 1; i < servers; i++) {
                    int server = i;
                    fleet.at(fleet.now + 3000 + 400 * i, () -> fleet.cold(server, server + 1));
                }
            }
            case REST_LOST -> {
                fleet.cold(0, third);
                fleet.at(fleet.now + 3000, () -> fleet.gone(third, servers));
            }
            default -> {
                fleet.cold(0, third);
                for (int i = 0; i < third * nodes; i++) {
                    fleet.gateways[i / third].policy.setCordoned(fleet.now, "s" + i % third, true);
                    fleet.gateways[i / third].policy.setCordoned(fleet.now, "s" + i % third, false);
                }
            }
        }
        fleet.at(fleet.now + 2000, () -> fleet.perSecond *= 1.5);
        for (int i = 0; restarts && i < nodes; i++) { // half of them together, the others in turn; all twice
            int node = i;
            fleet.at(fleet.now + (i % 2 == 0 ? 600 : 600 + 100 * i), () -> fleet.restart(node));
            fleet.at(fleet.now + (i % 2 == 0 ? 4200 : 4200 + 120 * i), () -> fleet.restart(node));
        }
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 5, 20, 30})
    void allGatewaysTogetherKeepToWhatAnEndpointInSlowStartBears(int nodes) {
        for (Trouble trouble : Trouble.values()) {
            for (int servers : new int[] {12, 36}) {
                for (double capacity : new double[] {4, 20}) {
                    for (boolean restarts : new boolean[] {false, true}) {
                        Fleet fleet = play(trouble, nodes, servers, capacity, restarts);
                        fleet.to(36_000);
                        String what = String.format(
                                "%s, %d servers of %.0f a second, %b: %.2f of it",
                                trouble, servers, capacity, restarts, fleet.worst);
                        assertTrue(fleet.worst > 0 && fleet.worst <= 1, what);
                    }
                }
            }
        }
    }

    /** While others are quicker each node saves a send to each cold server: not to spend them all at once. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 12})
    void unusedBudgetsOfAllGatewaysAreNotSpentTogether(double capacity) {
        Fleet fleet = new Fleet(rules(60_000), 30, 24, capacity, 0.7);
        fleet.to(20_000);
        fleet.cold(0, 6);
        fleet.to(45_000);
        fleet.perSecond *= 1.5;
        fleet.gone(6, 24);
        fleet.to(50_000);
        assertTrue(fleet.worst > 0 && fleet.worst <= 1, "of it: " + fleet.worst);
    }

    @Test
    void budgetHoldsWithManyEndpointsToo() {
        for (Trouble trouble : List.of(Trouble.A_THIRD_COLD, Trouble.REST_LOST)) {
            Fleet fleet = play(trouble, 30, 300, 4, true);
            fleet.to(28_000);
            assertTrue(fleet.worst > 0 && fleet.worst <= 1, trouble + ": " + fleet.worst);
        }
    }

    /** Asked for three quarters of what they do warm; by the settings half after 4 s, all after 13. */
    @ParameterizedTest
    @ValueSource(ints = {2, 5, 20, 30})
    void fleetThatIsBackInSlowStartIsUsed(int nodes) {
        Fleet fleet = play(Trouble.ALL_COLD, nodes, 12, 12, false);
        fleet.to(24_000);
        long asked = fleet.asked;
        long served = fleet.served;
        fleet.to(36_000);
        assertTrue(
                fleet.served - served > 0.6 * (fleet.asked - asked),
                fleet.served - served + " of " + (fleet.asked - asked));
    }
}
