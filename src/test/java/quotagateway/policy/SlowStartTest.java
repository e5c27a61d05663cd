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
        final Edge[] edges;
        final double[] weight;
        final Map<String, Place> places = new HashMap<>();
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
            edges = new Edge[size];
            weight = new double[size];
            for (int i = 0; i < servers; i++) {
                list.add(server(i, EndpointState.UP, 0));
                places.put("s" + i, new Place());
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
                edges[i].module.onRequest(
                        now,
                        new IncomingRequest(
                                serial++, "read", "any", "c" + serial % 50, 90_000 / capacity, 1, 1, i, false));
                next();
            });
        }

        /** A new process, which knows the list alone. */
        void restart(int i) {
            edges[i] = new Edge(this, i);
            edges[i].module.onEndpoints(now, list, true);
        }

        void tell(EndpointDescriptor s) {
            int i = Integer.parseInt(s.id().substring(1));
            list.set(i, s);
            for (Edge e : edges) {
                e.module.onEndpoints(now, List.of(s), false);
            }
        }

        /** Ends, and is back at once, cold. */
        void cold(int from, int to) {
            for (int i = from; i < to; i++) {
                places.get("s" + i).started = now;
                tell(server(i, EndpointState.UP, now));
            }
        }

        void gone(int from, int to) {
            for (int i = from; i < to; i++) {
                tell(server(i, EndpointState.REMOVED, 0));
            }
        }

        void sent(Edge edge, long id, String server) {
            Place p = places.get(server);
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
                edge.module.onAttemptEnded(
                        now,
                        id,
                        edge.tries.merge(id, 1, Integer::sum) - 1,
                        full ? CallOutcome.FULL : CallOutcome.OK,
                        now - sentAt,
                        !full,
                        0,
                        new double[0]);
            });
        }
    }

    private static final class Place {
        final ArrayDeque<Double> sends = new ArrayDeque<>();
        double started = Double.NEGATIVE_INFINITY;
        double free;
    }

    /** A node; a process that has gone still gets its answers, and they count for nothing. */
    private static final class Edge implements PolicyActions {
        final Fleet fleet;
        final Policy module;
        final Map<Long, Integer> tries = new HashMap<>();

        Edge(Fleet fleet, int me) {
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
            module = new Policy(
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
            return module != null && Arrays.asList(fleet.edges).contains(this);
        }

        @Override
        public void sendAttempt(long id, String server, double until) {
            fleet.sent(this, id, server);
        }

        @Override
        public void scheduleTimer(double delay, long token) {
            fleet.at(fleet.now + delay + 0.001, () -> {
                if (runs()) {
                    module.onTimer(fleet.now, token);
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
        Fleet f = new Fleet(rules(13_000), nodes, servers, capacity, 0.5);
        f.to(20_000);
        int third = servers / 3;
        switch (trouble) {
            case A_THIRD_COLD -> f.cold(0, third);
            case ALL_COLD -> f.cold(0, servers);
            case ALL_BUT_ONE_COLD -> f.cold(1, servers);
            case BACK_ONE_BY_ONE -> {
                f.gone(1, servers);
                for (int i = 1; i < servers; i++) {
                    int server = i;
                    f.at(f.now + 3000 + 400 * i, () -> f.cold(server, server + 1));
                }
            }
            case REST_LOST -> {
                f.cold(0, third);
                f.at(f.now + 3000, () -> f.gone(third, servers));
            }
            default -> {
                f.cold(0, third);
                for (int i = 0; i < third * nodes; i++) {
                    f.edges[i / third].module.setCordoned(f.now, "s" + i % third, true);
                    f.edges[i / third].module.setCordoned(f.now, "s" + i % third, false);
                }
            }
        }
        f.at(f.now + 2000, () -> f.perSecond *= 1.5);
        for (int i = 0; restarts && i < nodes; i++) { // half of them together, the others in turn; all twice
            int node = i;
            f.at(f.now + (i % 2 == 0 ? 600 : 600 + 100 * i), () -> f.restart(node));
            f.at(f.now + (i % 2 == 0 ? 4200 : 4200 + 120 * i), () -> f.restart(node));
        }
        return f;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 5, 20, 30})
    void allNodesTogetherKeepToWhatAColdServerBears(int nodes) {
        for (Trouble trouble : Trouble.values()) {
            for (int servers : new int[] {12, 36}) {
                for (double capacity : new double[] {4, 20}) {
                    for (boolean restarts : new boolean[] {false, true}) {
                        Fleet f = play(trouble, nodes, servers, capacity, restarts);
                        f.to(36_000);
                        String what = String.format(
                                "%s, %d servers of %.0f a second, %b: %.2f of it",
                                trouble, servers, capacity, restarts, f.worst);
                        assertTrue(f.worst > 0 && f.worst <= 1, what);
                    }
                }
            }
        }
    }

    /** While others are quicker each node saves a send to each cold server: not to spend them all at once. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 12})
    void whatAllNodesHaveSavedIsNotSpentTogether(double capacity) {
        Fleet f = new Fleet(rules(60_000), 30, 24, capacity, 0.7);
        f.to(20_000);
        f.cold(0, 6);
        f.to(45_000);
        f.perSecond *= 1.5;
        f.gone(6, 24);
        f.to(50_000);
        assertTrue(f.worst > 0 && f.worst <= 1, "of it: " + f.worst);
    }

    @Test
    void itHoldsBeforeManyServersToo() {
        for (Trouble trouble : List.of(Trouble.A_THIRD_COLD, Trouble.REST_LOST)) {
            Fleet f = play(trouble, 30, 300, 4, true);
            f.to(28_000);
            assertTrue(f.worst > 0 && f.worst <= 1, trouble + ": " + f.worst);
        }
    }

    /** Asked for three quarters of what they do warm; by the settings half after 4 s, all after 13. */
    @ParameterizedTest
    @ValueSource(ints = {2, 5, 20, 30})
    void aFleetThatIsBackColdIsUsed(int nodes) {
        Fleet f = play(Trouble.ALL_COLD, nodes, 12, 12, false);
        f.to(24_000);
        long asked = f.asked;
        long served = f.served;
        f.to(36_000);
        assertTrue(f.served - served > 0.6 * (f.asked - asked), f.served - served + " of " + (f.asked - asked));
    }
}
