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
        PolicyHarness b = PolicyHarness.plain();
        b.me = me;
        b.nodes = nodes;
        return b.start().servers(servers);
    }

    private static List<EndpointDescriptor> servers(int from, int to, EndpointState state, double startedAt) {
        return IntStream.range(from, to)
                .mapToObj(i -> PolicyHarness.server(i, state, startedAt))
                .toList();
    }

    private static Set<String> sentTo(PolicyHarness b) {
        Set<String> servers = new TreeSet<>();
        b.log.stream().filter(l -> l.startsWith("send ")).forEach(l -> servers.add(l.split(" ", 0)[2]));
        return servers;
    }

    /** Requests that are answered at once, in 10 ms each. */
    private static void load(PolicyHarness b, int from, int to) {
        for (int id = from; id < to; id++) {
            b.arrive(id, "read", "big", "c" + id);
            b.to(b.now + 10);
            b.end(id, 0, OK);
        }
    }

    /** Nodes of each server, through the real classes: as many nodes as asked for use the same list. */
    private static int[] nodesOf(int nodes, int servers, int[] sizes) {
        EndpointCatalog list = new EndpointCatalog(nodes);
        list.update(servers(0, servers, UP, 0), true);
        int[] count = new int[servers];
        for (int me = 0; me < nodes; me++) {
            PolicyHarness b = new PolicyHarness();
            b.me = me;
            b.nodes = nodes;
            EndpointSubset set = new EndpointSubset(b.settings(), list);
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
    void everyServerHasAsManyNodesAsTheOthers() {
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
    void oneServerMoreOrLessChangesAFewSets() {
        int changed = 0;
        for (int me = 0; me < 400; me++) {
            PolicyHarness b = node(me, 400, 3200);
            Set<String> before = Set.copyOf(b.kept);
            b.module.onEndpoints(b.now, servers(3200, 3201, UP, 0), false);
            Set<String> more = new HashSet<>(b.kept);
            more.removeAll(before);
            assertTrue(b.kept.containsAll(before) && Set.of("s3200").containsAll(more));
            b.module.onEndpoints(b.now, servers(3199, 3201, EndpointState.REMOVED, 0), false);
            changed += b.kept.equals(before) ? 0 : 1;
        }
        assertTrue(changed >= 1 && changed <= 20, "of 400: " + changed);
    }

    /** A rack or a zone that is lost takes few nodes of each server with it. */
    @Test
    void nodesOfOneServerAreNoNeighbours() {
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
            Set<String> mine = node(me, 400, 3000).kept;
            all += mine.size();
            shared += (int)
                    mine.stream().filter(node(me + 1, 400, 3000).kept::contains).count();
        }
        assertTrue(shared <= 0.15 * all, shared + " of " + all);
        boolean[] taken = new boolean[101];
        for (int me = 0; me < 101; me++) {
            taken[ConsistentHashRing.position(me, 101)] = true;
        }
        assertFalse(Arrays.toString(taken).contains("false"), "each has a place of its own");
    }

    @Test
    void oneNodeMoreMovesASmallPart() {
        int kept = 0;
        int moved = 0;
        for (int me = 0; me < 100; me++) {
            Set<String> now = node(me, 101, 2000).kept;
            for (String server : node(me, 100, 2000).kept) {
                kept++;
                moved += now.contains(server) ? 0 : 1;
            }
        }
        assertTrue(moved <= 0.08 * kept, moved + " of " + kept);
    }

    @Test
    void aRestartedNodeFindsItsSetAgain() {
        PolicyHarness b = node(7, 100, 2000);
        Set<String> first = Set.copyOf(b.kept);
        assertTrue(first.size() >= 50 && first.size() <= 150, "size " + first.size());
        load(b, 0, 300);
        b.module.onEndpoints(b.now, servers(0, 300, EndpointState.REMOVED, 0), false);
        b.module.onEndpoints(b.now, servers(0, 300, UP, 0), false);
        assertTrue(b.kept.containsAll(first));
        b.to(b.now + 60_000);
        assertTrue(b.kept.containsAll(first) && b.kept.size() <= 1.3 * first.size(), "size " + b.kept.size());
        b.seed = 99; // chance has no part in it
        b.kept.clear();
        b.start().servers(2000);
        assertEquals(first, b.kept);
    }

    @Test
    void aShortListIsUsedWhole() {
        assertEquals(256, node(3, 8200, 256).kept.size());
        assertEquals(10, node(0, 3, 10).kept.size());
        assertEquals(5000, node(0, 1, 5000).kept.size(), "one node has them all");
    }

    @Test
    void moreTrafficMeansMoreServersAtOnceAndFewerSlowly() {
        PolicyHarness b = node(7, 100, 2000);
        int first = b.kept.size();
        for (int id = 0; id < 4000; id++) { // 1,000 a second, of 75 ms each as is believed at first
            b.arrive(id, "read", "big", "c" + id);
            b.to(b.now + 1);
            b.module.onAttemptEnded(b.now, id, 0, OK, 75, true, 0, new double[0]);
        }
        int more = b.kept.size();
        assertTrue(more >= 8 * 0.9 * 75, "for 75 that are out: " + more);
        b.to(b.now + 10_000);
        assertTrue(b.kept.size() < more && b.kept.size() > more / 2, "after 10 s: " + b.kept.size());
        b.to(b.now + 300_000);
        assertTrue(b.kept.size() <= 1.3 * first, "in the end: " + b.kept.size());
    }

    @Test
    void whatIsTakenOutIsMadeUpForAndComesBackSlowly() {
        PolicyHarness b = node(7, 100, 2000);
        Set<String> first = Set.copyOf(b.kept);
        first.stream().limit(first.size() * 2 / 3).forEach(s -> b.module.setCordoned(b.now, s, true));
        b.to(b.now + 1000);
        assertTrue(b.kept.size() >= 0.6 * 80, "of use: " + b.kept.size());
        first.forEach(s -> b.module.setCordoned(b.now, s, false));
        assertTrue(b.kept.containsAll(first));
        assertTrue(b.kept.size() > first.size() + 10);
        b.to(b.now + 120_000);
        assertTrue(b.kept.size() <= 1.3 * first.size(), "in the end: " + b.kept.size());
        assertTrue(b.kept.containsAll(first));
    }

    /** A node that cannot reach half of its set has others at once, and none that drains. */
    @Test
    void whatFailsOrDrainsIsMadeUpFor() {
        PolicyHarness b = node(7, 100, 2000);
        Set<String> first = new TreeSet<>(b.kept);
        List<EndpointDescriptor> drained = new ArrayList<>();
        first.stream()
                .limit(first.size() / 2)
                .forEach(s ->
                        drained.add(PolicyHarness.server(Integer.parseInt(s.substring(1)), EndpointState.DRAINING, 0)));
        b.module.onEndpoints(b.now, drained, false);
        drained.forEach(s -> assertFalse(b.kept.contains(s.id())));
        b.to(b.now + 300);
        assertTrue(b.kept.size() >= 0.6 * 80, "of use: " + b.kept.size());
        for (int id = 0; id < 600; id++) {
            b.arrive(id, "once", "big", "c" + id);
            b.to(b.now + 30);
            for (int k = 0; k < b.count("send " + id + " "); k++) {
                b.end(id, k, first.contains(b.sentTo(id)) ? CallOutcome.NO_CONNECTION : OK);
            }
        }
        assertTrue(b.kept.size() - b.module.unavailableEndpointCount(b.now) + drained.size() >= 0.6 * 80);
        assertTrue(sentTo(b).stream().noneMatch(s -> drained.stream().anyMatch(d -> d.id().equals(s))));
    }

    @Test
    void nothingIsSentToAServerThatIsNotKept() {
        PolicyHarness b = node(7, 100, 2000);
        load(b, 0, 300);
        assertTrue(b.kept.containsAll(sentTo(b)));
        assertTrue(sentTo(b).size() > 30);
    }

    @Test
    void whatIsOutThereMayEndBeforeAServerIsReleased() {
        PolicyHarness b = node(7, 100, 2000);
        b.arrive(1, "read", "big", "c");
        String server = b.sentTo(1);
        int number = Integer.parseInt(server.substring(1));
        b.module.onEndpoints(b.now, servers(number, number + 1, EndpointState.DRAINING, 0), false);
        assertEquals(0, b.count("release " + server));
        b.end(1, 0, OK);
        assertEquals(1, b.count("release " + server));
        b.module.onEndpoints(b.now, servers(number, number + 1, UP, 0), false);
        assertTrue(b.kept.contains(server));
    }

    @Test
    void changesOfServersThatAreNotInTheSetCostTheHostNothing() {
        PolicyHarness b = node(7, 100, 2000);
        List<EndpointDescriptor> others = new ArrayList<>(servers(0, 100, EndpointState.DRAINING, 0));
        others.removeIf(s -> b.kept.contains(s.id()));
        b.log.clear();
        b.module.onEndpoints(b.now, others, false);
        assertEquals(List.of(), b.log);
        assertEquals(others.size(), b.module.unavailableEndpointCount(b.now));
        assertTrue(b.module.setCordoned(b.now, others.get(0).id(), true), "known, though not in the set");
        assertFalse(b.module.setCordoned(b.now, "s2000", true), "in no list");
        assertEquals(others.size(), b.module.unavailableEndpointCount(b.now));
        b.module.onEndpoints(b.now, servers(0, 100, UP, 0), false);
        assertEquals(1, b.module.unavailableEndpointCount(b.now), "only the one that is out by hand");
    }

    @Test
    void aServerThatComesIntoTheSetIsColdOnlyIfItHasJustStarted() {
        for (double started : new double[] {0, 900}) {
            PolicyHarness b = node(7, 100, 2000);
            load(b, 0, 100);
            b.module.onEndpoints(b.now, servers(2000, 4000, UP, started), false);
            b.module.onEndpoints(b.now, servers(0, 2000, EndpointState.REMOVED, 0), false);
            long before = b.count("send");
            load(b, 100, 200);
            long sent = b.count("send") - before;
            assertTrue(started == 0 ? sent >= 95 : sent <= 60 && sent >= 1, started + ": " + sent);
        }
    }

    @Test
    void aListInPartsDropsAtItsEndWhatItDidNotName() {
        PolicyHarness b = node(0, 2, 6);
        b.module.onEndpointListStarted(b.now);
        b.module.onEndpoints(b.now, servers(0, 2, UP, 0), false);
        assertEquals(6, b.kept.size(), "not ended yet");
        b.module.onEndpointListStarted(b.now);
        b.module.onEndpoints(b.now, servers(2, 4, UP, 0), false);
        b.module.onEndpoints(b.now, servers(6, 7, UP, 0), false);
        assertEquals(7, b.module.endpointCount(), "the one before never ended: nothing is gone");
        b.module.onEndpointListCompleted(b.now);
        assertEquals(Set.of("s2", "s3", "s6"), b.kept);
        assertEquals(3, b.module.endpointCount());
        b.module.onEndpointListCompleted(b.now); // of none
        assertEquals(3, b.kept.size());
    }

    /** The first parts of a long list look like a short one, which would be used whole. */
    @Test
    void theFirstPartsOfALongListAreNotUsedWhole() {
        PolicyHarness b = node(7, 100, 0);
        b.start();
        b.to(600);
        b.module.onEndpointListStarted(b.now);
        for (int i = 0; i < 2000; i += 100) {
            b.module.onEndpoints(b.now, servers(i, i + 100, UP, 0), false);
            b.to(b.now + 200);
            assertTrue(b.kept.size() <= 40, "at " + i + ": " + b.kept.size());
        }
        assertTrue(b.kept.size() > 0, "some serve already");
        b.module.onEndpointListCompleted(b.now);
        assertEquals(node(7, 100, 2000).kept, b.kept);
    }

    @Test
    void aRepeatThatHasToStayInACellFindsItsOtherServerOutsideTheSet() {
        int repeated = 0;
        for (String type : List.of("cell", "zone")) {
            PolicyHarness b = node(7, 100, 2000);
            if (type.equals("zone")) { // zone b has one server in the set, and a thousand outside
                List<EndpointDescriptor> gone = new ArrayList<>(servers(0, 2000, EndpointState.DRAINING, 0));
                gone.removeIf(s -> !b.kept.contains(s.id()) || s.zone().equals("a"));
                b.module.onEndpoints(b.now, gone.subList(1, gone.size()), false);
            }
            for (int id = 0; id < 200; id += 5) {
                load(b, id + 1, id + 5); // others are served, so that the pace is no bound
                b.arrive(id, type, "big", "c" + id);
                b.to(b.now + 100);
                String first = b.sentTo(id);
                int number = Integer.parseInt(first.substring(1));
                b.end(id, 0, CallOutcome.ERROR);
                b.to(b.now + 100);
                String second = b.sentTo(id);
                if (!second.equals(first)) {
                    int other = Integer.parseInt(second.substring(1));
                    assertEquals(
                            type.equals("cell") ? number / 2 : number / 2 % 2,
                            type.equals("cell") ? other / 2 : other / 2 % 2);
                    repeated++;
                    assertTrue(b.kept.contains(second), "connected to for this");
                }
                b.end(id, 1, OK);
            }
            b.to(b.now + 1000);
            assertTrue(b.kept.size() < 150, "and let go: " + b.kept.size());
        }
        assertTrue(repeated > 70, "of 80: " + repeated);
    }
}
