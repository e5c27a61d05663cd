package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.endpoint.ConsistentHashRing;
import quotagateway.policy.endpoint.EndpointCatalog;
import quotagateway.policy.endpoint.EndpointSubset;

/** Which servers of a long list a node uses, what becomes of them, and that a short list is used whole. */
class EndpointSubsetTest {
    private static final EndpointState UP = EndpointState.UP;
    private static final CallOutcome OK = CallOutcome.OK;

    private static PolicyHarness node(int me, int nodes, int servers) {
        PolicyHarness gateway = PolicyHarness.withoutCounter();
        gateway.gatewayIndex = me;
        gateway.gatewayCount = nodes;
        return gateway.start().listEndpoints(servers);
    }

    private static List<EndpointDescriptor> servers(int from, int to, EndpointState state, double startedAt) {
        return IntStream.range(from, to)
                .mapToObj(i -> PolicyHarness.endpoint(i, state, startedAt))
                .toList();
    }

    private static Set<String> sentTo(PolicyHarness gateway) {
        Set<String> servers = new TreeSet<>();
        gateway.log.stream().filter(l -> l.startsWith("send ")).forEach(l -> servers.add(l.split(" ", 0)[2]));
        return servers;
    }

    /** Requests that are answered at once, in 10 ms each. */
    private static void load(PolicyHarness gateway, int from, int to) {
        for (int id = from; id < to; id++) {
            gateway.request(id, "read", "big", "c" + id);
            gateway.advanceTo(gateway.now + 10);
            gateway.endAttempt(id, 0, OK);
        }
    }

    /** Nodes of each server, through the real classes: as many nodes as asked for use the same list. */
    private static int[] nodesOf(int nodes, int servers, int[] sizes) {
        EndpointCatalog list = new EndpointCatalog(nodes);
        list.update(servers(0, servers, UP, 0), true);
        int[] count = new int[servers];
        for (int me = 0; me < nodes; me++) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.gatewayIndex = me;
            gateway.gatewayCount = nodes;
            EndpointSubset set = new EndpointSubset(gateway.settings(), list);
            set.fit(0, 0, 0);
            long size = list.inBuckets(set.buckets(0, set.bucketCount())).count();
            set.fit(250, 0, (double) size);
            sizes[me] = (int) list.inBuckets(set.buckets(0, set.bucketCount()))
                    .mapToInt(s -> count[Integer.parseInt(s.id().substring(1))]++)
                    .count();
        }
        return count;
    }

    @Test
    void everyEndpointIsUsedByAsManyGatewaysAsTheOthers() {
        for (int[] size : new int[][] {{8200, 200_000}, {8200, 3000}, {100, 2000}, {10, 5000}}) {
            int[] sizes = new int[size[0]];
            int[] count = nodesOf(size[0], size[1], sizes);
            double mean = Arrays.stream(count).average().orElseThrow();
            int most = Arrays.stream(count).max().orElseThrow();
            assertTrue(most <= Math.max(1.3 * mean, mean + 1), size[0] + " nodes: " + most + " of " + mean);
            assertTrue(Arrays.stream(count).min().orElseThrow() >= 1);
            assertTrue(Arrays.stream(sizes).min().orElseThrow() >= 38, "of 64 and more servers");
        }
    }

    /** At 3,200 servers and 400 nodes sets of 80 are 10 buckets whole: with one size all would change. */
    @Test
    void oneEndpointMoreOrLessChangesFewSubsets() {
        int changed = 0;
        for (int me = 0; me < 400; me++) {
            PolicyHarness gateway = node(me, 400, 3200);
            Set<String> before = Set.copyOf(gateway.retained);
            gateway.policy.onEndpoints(gateway.now, servers(3200, 3201, UP, 0), false);
            Set<String> more = new HashSet<>(gateway.retained);
            more.removeAll(before);
            assertTrue(gateway.retained.containsAll(before) && Set.of("s3200").containsAll(more));
            gateway.policy.onEndpoints(gateway.now, servers(3199, 3201, EndpointState.REMOVED, 0), false);
            changed += gateway.retained.equals(before) ? 0 : 1;
        }
        assertTrue(changed >= 1 && changed <= 20, "of 400: " + changed);
    }

    /** A rack or a zone that is lost takes few nodes of each server with it. */
    @Test
    void gatewaysOfOneEndpointAreNoNeighbours() {
        int close = 0;
        for (int me = 1; me < 8200; me++) {
            close += Math.abs(ConsistentHashRing.position(me, 8200) - ConsistentHashRing.position(me - 1, 8200)) <= 8
                    ? 1
                    : 0;
        }
        assertTrue(close <= 40, "of 8,199 pairs: " + close);
        int shared = 0;
        int all = 0;
        for (int me = 0; me < 60; me += 2) {
            Set<String> mine = node(me, 400, 3000).retained;
            all += mine.size();
            shared += (int) mine.stream()
                    .filter(node(me + 1, 400, 3000).retained::contains)
                    .count();
        }
        assertTrue(shared <= 0.15 * all, shared + " of " + all);
        boolean[] taken = new boolean[101];
        for (int me = 0; me < 101; me++) {
            taken[ConsistentHashRing.position(me, 101)] = true;
        }
        assertFalse(Arrays.toString(taken).contains("false"), "each has a place of its own");
    }

    @Test
    void oneGatewayMoreMovesASmallPart() {
        int kept = 0;
        int moved = 0;
        for (int me = 0; me < 100; me++) {
            Set<String> now = node(me, 101, 2000).retained;
            for (String server : node(me, 100, 2000).retained) {
                kept++;
                moved += now.contains(server) ? 0 : 1;
            }
        }
        assertTrue(moved <= 0.08 * kept, moved + " of " + kept);
    }

    @Test
    void restartedGatewayFindsItsSubsetAgain() {
        PolicyHarness gateway = node(7, 100, 2000);
        Set<String> first = Set.copyOf(gateway.retained);
        assertTrue(first.size() >= 50 && first.size() <= 150, "size " + first.size());
        load(gateway, 0, 300);
        gateway.policy.onEndpoints(gateway.now, servers(0, 300, EndpointState.REMOVED, 0), false);
        gateway.policy.onEndpoints(gateway.now, servers(0, 300, UP, 0), false);
        assertTrue(gateway.retained.containsAll(first));
        gateway.advanceTo(gateway.now + 60_000);
        assertTrue(
                gateway.retained.containsAll(first) && gateway.retained.size() <= 1.3 * first.size(),
                "size " + gateway.retained.size());
        gateway.seed = 99; // chance has no part in it
        gateway.retained.clear();
        gateway.start().listEndpoints(2000);
        assertEquals(first, gateway.retained);
    }

    @Test
    void shortListIsUsedWhole() {
        assertEquals(256, node(3, 8200, 256).retained.size());
        assertEquals(10, node(0, 3, 10).retained.size());
        assertEquals(5000, node(0, 1, 5000).retained.size(), "one node has them all");
    }

    @Test
    void subsetGrowsWithTrafficAtOnceAndShrinksSlowly() {
        PolicyHarness gateway = node(7, 100, 2000);
        int first = gateway.retained.size();
        for (int id = 0; id < 4000; id++) { // 1,000 a second, of 75 ms each as is believed at first
            gateway.request(id, "read", "big", "c" + id);
            gateway.advanceTo(gateway.now + 1);
            gateway.policy.onAttemptEnded(gateway.now, id, 0, OK, 75, true, 0, new double[0]);
        }
        int more = gateway.retained.size();
        assertTrue(more >= 8 * 0.9 * 75, "for 75 that are out: " + more);
        gateway.advanceTo(gateway.now + 10_000);
        assertTrue(
                gateway.retained.size() < more && gateway.retained.size() > more / 2,
                "after 10 s: " + gateway.retained.size());
        gateway.advanceTo(gateway.now + 300_000);
        assertTrue(gateway.retained.size() <= 1.3 * first, "in the end: " + gateway.retained.size());
    }

    @Test
    void cordonedEndpointsAreReplacedAtOnceAndTheSubsetShrinksSlowly() {
        PolicyHarness gateway = node(7, 100, 2000);
        Set<String> first = Set.copyOf(gateway.retained);
        first.stream().limit(first.size() * 2 / 3).forEach(s -> gateway.policy.setCordoned(gateway.now, s, true));
        gateway.advanceTo(gateway.now + 1000);
        assertTrue(gateway.retained.size() >= 0.6 * 80, "of use: " + gateway.retained.size());
        first.forEach(s -> gateway.policy.setCordoned(gateway.now, s, false));
        assertTrue(gateway.retained.containsAll(first));
        assertTrue(gateway.retained.size() > first.size() + 10);
        gateway.advanceTo(gateway.now + 120_000);
        assertTrue(gateway.retained.size() <= 1.3 * first.size(), "in the end: " + gateway.retained.size());
        assertTrue(gateway.retained.containsAll(first));
    }

    /** A node that cannot reach half of its set has others at once, and none that drains. */
    @Test
    void failingAndDrainingEndpointsAreReplaced() {
        PolicyHarness gateway = node(7, 100, 2000);
        Set<String> first = new TreeSet<>(gateway.retained);
        List<EndpointDescriptor> drained = new ArrayList<>();
        first.stream()
                .limit(first.size() / 2)
                .forEach(s -> drained.add(
                        PolicyHarness.endpoint(Integer.parseInt(s.substring(1)), EndpointState.DRAINING, 0)));
        gateway.policy.onEndpoints(gateway.now, drained, false);
        drained.forEach(s -> assertFalse(gateway.retained.contains(s.id())));
        gateway.advanceTo(gateway.now + 300);
        assertTrue(gateway.retained.size() >= 0.6 * 80, "of use: " + gateway.retained.size());
        for (int id = 0; id < 600; id++) {
            gateway.request(id, "once", "big", "c" + id);
            gateway.advanceTo(gateway.now + 30);
            for (int k = 0; k < gateway.countActions("send " + id + " "); k++) {
                gateway.endAttempt(id, k, first.contains(gateway.lastEndpointOf(id)) ? CallOutcome.NO_CONNECTION : OK);
            }
        }
        assertTrue(gateway.retained.size() - gateway.policy.unavailableEndpointCount(gateway.now) + drained.size()
                >= 0.6 * 80);
        assertTrue(sentTo(gateway).stream().noneMatch(s -> drained.stream().anyMatch(d -> d.id().equals(s))));
    }

    @Test
    void nothingIsSentToAnEndpointThatIsNotRetained() {
        PolicyHarness gateway = node(7, 100, 2000);
        load(gateway, 0, 300);
        assertTrue(gateway.retained.containsAll(sentTo(gateway)));
        assertTrue(sentTo(gateway).size() > 30);
    }

    @Test
    void endpointIsReleasedOnceItsAttemptsHaveEnded() {
        PolicyHarness gateway = node(7, 100, 2000);
        gateway.request(1, "read", "big", "c");
        String server = gateway.lastEndpointOf(1);
        int number = Integer.parseInt(server.substring(1));
        gateway.policy.onEndpoints(gateway.now, servers(number, number + 1, EndpointState.DRAINING, 0), false);
        assertEquals(0, gateway.countActions("release " + server));
        gateway.endAttempt(1, 0, OK);
        assertEquals(1, gateway.countActions("release " + server));
        gateway.policy.onEndpoints(gateway.now, servers(number, number + 1, UP, 0), false);
        assertTrue(gateway.retained.contains(server));
    }

    @Test
    void changesOutsideTheSubsetLeadToNoAction() {
        PolicyHarness gateway = node(7, 100, 2000);
        List<EndpointDescriptor> others = new ArrayList<>(servers(0, 100, EndpointState.DRAINING, 0));
        others.removeIf(s -> gateway.retained.contains(s.id()));
        gateway.log.clear();
        gateway.policy.onEndpoints(gateway.now, others, false);
        assertEquals(List.of(), gateway.log);
        assertEquals(others.size(), gateway.policy.unavailableEndpointCount(gateway.now));
        assertTrue(gateway.policy.setCordoned(gateway.now, others.get(0).id(), true), "known, though not in the set");
        assertFalse(gateway.policy.setCordoned(gateway.now, "s2000", true), "in no list");
        assertEquals(others.size(), gateway.policy.unavailableEndpointCount(gateway.now));
        gateway.policy.onEndpoints(gateway.now, servers(0, 100, UP, 0), false);
        assertEquals(1, gateway.policy.unavailableEndpointCount(gateway.now), "only the one that is out by hand");
    }

    @Test
    void endpointThatJoinsTheSubsetIsInSlowStartOnlyIfItHasJustStarted() {
        for (double started : new double[] {0, 900}) {
            PolicyHarness gateway = node(7, 100, 2000);
            load(gateway, 0, 100);
            gateway.policy.onEndpoints(gateway.now, servers(2000, 4000, UP, started), false);
            gateway.policy.onEndpoints(gateway.now, servers(0, 2000, EndpointState.REMOVED, 0), false);
            long before = gateway.countActions("send");
            load(gateway, 100, 200);
            long sent = gateway.countActions("send") - before;
            assertTrue(started == 0 ? sent >= 95 : sent <= 60 && sent >= 1, started + ": " + sent);
        }
    }

    @Test
    void listInPartsRemovesAtItsEndWhatItDidNotName() {
        PolicyHarness gateway = node(0, 2, 6);
        gateway.policy.onEndpointListStarted(gateway.now);
        gateway.policy.onEndpoints(gateway.now, servers(0, 2, UP, 0), false);
        assertEquals(6, gateway.retained.size(), "not ended yet");
        gateway.policy.onEndpointListStarted(gateway.now);
        gateway.policy.onEndpoints(gateway.now, servers(2, 4, UP, 0), false);
        gateway.policy.onEndpoints(gateway.now, servers(6, 7, UP, 0), false);
        assertEquals(7, gateway.policy.endpointCount(), "the one before never ended: nothing is gone");
        gateway.policy.onEndpointListCompleted(gateway.now);
        assertEquals(Set.of("s2", "s3", "s6"), gateway.retained);
        assertEquals(3, gateway.policy.endpointCount());
        gateway.policy.onEndpointListCompleted(gateway.now); // of none
        assertEquals(3, gateway.retained.size());
    }

    /** The first parts of a long list look like a short one, which would be used whole. */
    @Test
    void firstPartsOfALongListAreNotUsedWhole() {
        PolicyHarness gateway = node(7, 100, 0);
        gateway.start();
        gateway.advanceTo(600);
        gateway.policy.onEndpointListStarted(gateway.now);
        for (int i = 0; i < 2000; i += 100) {
            gateway.policy.onEndpoints(gateway.now, servers(i, i + 100, UP, 0), false);
            gateway.advanceTo(gateway.now + 200);
            assertTrue(gateway.retained.size() <= 40, "at " + i + ": " + gateway.retained.size());
        }
        assertTrue(gateway.retained.size() > 0, "some serve already");
        gateway.policy.onEndpointListCompleted(gateway.now);
        assertEquals(node(7, 100, 2000).retained, gateway.retained);
    }

    @Test
    void retryThatHasToStayInItsScopeFindsAnEndpointOutsideTheSubset() {
        int repeated = 0;
        for (String type : List.of("cell", "zone")) {
            PolicyHarness gateway = node(7, 100, 2000);
            if (type.equals("zone")) { // zone b has one server in the set, and a thousand outside
                List<EndpointDescriptor> gone = new ArrayList<>(servers(0, 2000, EndpointState.DRAINING, 0));
                gone.removeIf(
                        s -> !gateway.retained.contains(s.id()) || s.zone().equals("a"));
                gateway.policy.onEndpoints(gateway.now, gone.subList(1, gone.size()), false);
            }
            for (int id = 0; id < 200; id += 5) {
                load(gateway, id + 1, id + 5); // others are served, so that the pace is no bound
                gateway.request(id, type, "big", "c" + id);
                gateway.advanceTo(gateway.now + 100);
                String first = gateway.lastEndpointOf(id);
                int number = Integer.parseInt(first.substring(1));
                gateway.endAttempt(id, 0, CallOutcome.ERROR);
                gateway.advanceTo(gateway.now + 100);
                String second = gateway.lastEndpointOf(id);
                if (!second.equals(first)) {
                    int other = Integer.parseInt(second.substring(1));
                    assertEquals(
                            type.equals("cell") ? number / 2 : number / 2 % 2,
                            type.equals("cell") ? other / 2 : other / 2 % 2);
                    repeated++;
                    assertTrue(gateway.retained.contains(second), "connected to for this");
                }
                gateway.endAttempt(id, 1, OK);
            }
            gateway.advanceTo(gateway.now + 1000);
            assertTrue(gateway.retained.size() < 150, "and let go: " + gateway.retained.size());
        }
        assertTrue(repeated > 70, "of 80: " + repeated);
    }
}
