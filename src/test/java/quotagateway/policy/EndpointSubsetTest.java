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

/**
 * Tests which endpoints of a long list a gateway uses, how they are replaced, and that a short list is used
 * completely.
 */
class EndpointSubsetTest {
    private static final EndpointState UP = EndpointState.UP;
    private static final CallOutcome OK = CallOutcome.OK;

    private static PolicyHarness startGateway(int index, int gatewayCount, int endpointCount) {
        PolicyHarness gateway = PolicyHarness.withoutCounter();
        gateway.gatewayIndex = index;
        gateway.gatewayCount = gatewayCount;
        return gateway.start().listEndpoints(endpointCount);
    }

    private static List<EndpointDescriptor> descriptors(int from, int to, EndpointState state, double startedAt) {
        return IntStream.range(from, to)
                .mapToObj(i -> PolicyHarness.endpoint(i, state, startedAt))
                .toList();
    }

    private static Set<String> sentTo(PolicyHarness gateway) {
        Set<String> endpoints = new TreeSet<>();
        gateway.log.stream()
                .filter(line -> line.startsWith("send "))
                .forEach(line -> endpoints.add(line.split(" ", 0)[2]));
        return endpoints;
    }

    /** Sends requests that get a response immediately; the clock advances by 10 ms for each. */
    private static void sendRequests(PolicyHarness gateway, int from, int to) {
        for (int id = from; id < to; id++) {
            gateway.request(id, "read", "big", "c" + id);
            gateway.advanceTo(gateway.now + 10);
            gateway.endAttempt(id, 0, OK);
        }
    }

    /**
     * Returns the number of gateways that use each endpoint, and stores the size of each gateway's subset in {@code
     * sizes}. Uses the production classes, with one list for all gateways.
     */
    private static int[] gatewaysPerEndpoint(int gatewayCount, int endpointCount, int[] sizes) {
        EndpointCatalog catalog = new EndpointCatalog(gatewayCount);
        catalog.update(descriptors(0, endpointCount, UP, 0), true);
        int[] count = new int[endpointCount];
        for (int index = 0; index < gatewayCount; index++) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.gatewayIndex = index;
            gateway.gatewayCount = gatewayCount;
            EndpointSubset subset = new EndpointSubset(gateway.settings(), catalog);
            subset.resize(0, 0, 0);
            long size =
                    catalog.inBuckets(subset.buckets(0, subset.bucketCount())).count();
            subset.resize(250, 0, (double) size);
            sizes[index] = (int) catalog.inBuckets(subset.buckets(0, subset.bucketCount()))
                    .mapToInt(s -> count[Integer.parseInt(s.id().substring(1))]++)
                    .count();
        }
        return count;
    }

    @Test
    void endpointsAreSpreadEvenlyOverTheGateways() {
        for (int[] size : new int[][] {{8200, 200_000}, {8200, 3000}, {100, 2000}, {10, 5000}}) {
            int[] sizes = new int[size[0]];
            int[] count = gatewaysPerEndpoint(size[0], size[1], sizes);
            double mean = Arrays.stream(count).average().orElseThrow();
            int most = Arrays.stream(count).max().orElseThrow();
            assertTrue(
                    most <= Math.max(1.3 * mean, mean + 1),
                    size[0] + " gateways: at most " + most + " for a mean of " + mean);
            assertTrue(Arrays.stream(count).min().orElseThrow() >= 1);
            assertTrue(
                    Arrays.stream(sizes).min().orElseThrow() >= 38,
                    "smallest subset where at least 64 endpoints are needed");
        }
    }

    /**
     * With 3,200 endpoints and 400 gateways, a subset of 80 is exactly 10 buckets: if all subsets had the same size,
     * one endpoint more or less would change all of them.
     */
    @Test
    void oneEndpointMoreOrLessChangesFewSubsets() {
        int changed = 0;
        for (int index = 0; index < 400; index++) {
            PolicyHarness gateway = startGateway(index, 400, 3200);
            Set<String> before = Set.copyOf(gateway.retained);
            gateway.policy.onEndpoints(gateway.now, descriptors(3200, 3201, UP, 0), false);
            Set<String> more = new HashSet<>(gateway.retained);
            more.removeAll(before);
            assertTrue(gateway.retained.containsAll(before) && Set.of("s3200").containsAll(more));
            gateway.policy.onEndpoints(gateway.now, descriptors(3199, 3201, EndpointState.REMOVED, 0), false);
            changed += gateway.retained.equals(before) ? 0 : 1;
        }
        assertTrue(changed >= 1 && changed <= 20, "changed subsets of 400: " + changed);
    }

    /** The loss of a rack or a zone takes away only a few of the gateways of each endpoint. */
    @Test
    void gatewaysOfOneEndpointAreNotAdjacent() {
        int adjacent = 0;
        for (int index = 1; index < 8200; index++) {
            adjacent +=
                    Math.abs(ConsistentHashRing.position(index, 8200) - ConsistentHashRing.position(index - 1, 8200))
                                    <= 8
                            ? 1
                            : 0;
        }
        assertTrue(adjacent <= 40, "adjacent pairs of 8,199: " + adjacent);
        int shared = 0;
        int all = 0;
        for (int index = 0; index < 60; index += 2) {
            Set<String> subset = startGateway(index, 400, 3000).retained;
            all += subset.size();
            shared += (int) subset.stream()
                    .filter(startGateway(index + 1, 400, 3000).retained::contains)
                    .count();
        }
        assertTrue(shared <= 0.15 * all, shared + " shared endpoints of " + all);
        boolean[] taken = new boolean[101];
        for (int index = 0; index < 101; index++) {
            taken[ConsistentHashRing.position(index, 101)] = true;
        }
        assertFalse(Arrays.toString(taken).contains("false"), "each gateway has a unique position");
    }

    @Test
    void addedGatewayChangesASmallPartOfTheSubsets() {
        int kept = 0;
        int moved = 0;
        for (int index = 0; index < 100; index++) {
            Set<String> enlarged = startGateway(index, 101, 2000).retained;
            for (String endpoint : startGateway(index, 100, 2000).retained) {
                kept++;
                moved += enlarged.contains(endpoint) ? 0 : 1;
            }
        }
        assertTrue(moved <= 0.08 * kept, moved + " moved endpoints of " + kept);
    }

    @Test
    void restartedGatewayUsesItsFormerSubset() {
        PolicyHarness gateway = startGateway(7, 100, 2000);
        Set<String> first = Set.copyOf(gateway.retained);
        assertTrue(first.size() >= 50 && first.size() <= 150, "size " + first.size());
        sendRequests(gateway, 0, 300);
        gateway.policy.onEndpoints(gateway.now, descriptors(0, 300, EndpointState.REMOVED, 0), false);
        gateway.policy.onEndpoints(gateway.now, descriptors(0, 300, UP, 0), false);
        assertTrue(gateway.retained.containsAll(first));
        gateway.advanceTo(gateway.now + 60_000);
        assertTrue(
                gateway.retained.containsAll(first) && gateway.retained.size() <= 1.3 * first.size(),
                "size " + gateway.retained.size());
        gateway.seed = 99; // the subset does not depend on random numbers
        gateway.retained.clear();
        gateway.start().listEndpoints(2000);
        assertEquals(first, gateway.retained);
    }

    @Test
    void shortListIsUsedCompletely() {
        assertEquals(256, startGateway(3, 8200, 256).retained.size());
        assertEquals(10, startGateway(0, 3, 10).retained.size());
        assertEquals(5000, startGateway(0, 1, 5000).retained.size(), "a single gateway uses all endpoints");
    }

    @Test
    void subsetGrowsImmediatelyWithTrafficAndShrinksSlowly() {
        PolicyHarness gateway = startGateway(7, 100, 2000);
        int first = gateway.retained.size();
        for (int id = 0; id < 4000; id++) { // 1,000 per second with the initially assumed latency of 75 ms
            gateway.request(id, "read", "big", "c" + id);
            gateway.advanceTo(gateway.now + 1);
            gateway.policy.onAttemptEnded(gateway.now, id, 0, OK, 75, true, 0, new double[0]);
        }
        int more = gateway.retained.size();
        assertTrue(more >= 8 * 0.9 * 75, "for 75 attempts in flight: " + more);
        gateway.advanceTo(gateway.now + 10_000);
        assertTrue(
                gateway.retained.size() < more && gateway.retained.size() > more / 2,
                "retained after 10 s: " + gateway.retained.size());
        gateway.advanceTo(gateway.now + 300_000);
        assertTrue(gateway.retained.size() <= 1.3 * first, "retained in the end: " + gateway.retained.size());
    }

    @Test
    void cordonedEndpointsAreReplacedImmediatelyAndTheSubsetShrinksSlowly() {
        PolicyHarness gateway = startGateway(7, 100, 2000);
        Set<String> first = Set.copyOf(gateway.retained);
        first.stream().limit(first.size() * 2 / 3).forEach(s -> gateway.policy.setCordoned(gateway.now, s, true));
        gateway.advanceTo(gateway.now + 1000);
        assertTrue(gateway.retained.size() >= 0.6 * 80, "retained endpoints: " + gateway.retained.size());
        first.forEach(s -> gateway.policy.setCordoned(gateway.now, s, false));
        assertTrue(gateway.retained.containsAll(first));
        assertTrue(gateway.retained.size() > first.size() + 10);
        gateway.advanceTo(gateway.now + 120_000);
        assertTrue(gateway.retained.size() <= 1.3 * first.size(), "retained in the end: " + gateway.retained.size());
        assertTrue(gateway.retained.containsAll(first));
    }

    /**
     * Half of the subset drains or cannot be reached: the gateway gets other endpoints immediately, and no draining
     * ones.
     */
    @Test
    void failingAndDrainingEndpointsAreReplaced() {
        PolicyHarness gateway = startGateway(7, 100, 2000);
        Set<String> first = new TreeSet<>(gateway.retained);
        List<EndpointDescriptor> drained = new ArrayList<>();
        first.stream()
                .limit(first.size() / 2)
                .forEach(s -> drained.add(
                        PolicyHarness.endpoint(Integer.parseInt(s.substring(1)), EndpointState.DRAINING, 0)));
        gateway.policy.onEndpoints(gateway.now, drained, false);
        drained.forEach(s -> assertFalse(gateway.retained.contains(s.id())));
        gateway.advanceTo(gateway.now + 300);
        assertTrue(gateway.retained.size() >= 0.6 * 80, "retained endpoints: " + gateway.retained.size());
        for (int id = 0; id < 600; id++) {
            gateway.request(id, "once", "big", "c" + id);
            gateway.advanceTo(gateway.now + 30);
            for (int attempt = 0; attempt < gateway.countActions("send " + id + " "); attempt++) {
                gateway.endAttempt(
                        id, attempt, first.contains(gateway.lastEndpointOf(id)) ? CallOutcome.NO_CONNECTION : OK);
            }
        }
        assertTrue(gateway.retained.size() - gateway.policy.unavailableEndpointCount(gateway.now) + drained.size()
                >= 0.6 * 80);
        assertTrue(sentTo(gateway).stream()
                .noneMatch(s ->
                        drained.stream().anyMatch(descriptor -> descriptor.id().equals(s))));
    }

    @Test
    void nothingIsSentToAnEndpointThatIsNotRetained() {
        PolicyHarness gateway = startGateway(7, 100, 2000);
        sendRequests(gateway, 0, 300);
        assertTrue(gateway.retained.containsAll(sentTo(gateway)));
        assertTrue(sentTo(gateway).size() > 30);
    }

    @Test
    void endpointIsReleasedOnceItsAttemptsHaveEnded() {
        PolicyHarness gateway = startGateway(7, 100, 2000);
        gateway.request(1, "read", "big", "c");
        String endpoint = gateway.lastEndpointOf(1);
        int number = Integer.parseInt(endpoint.substring(1));
        gateway.policy.onEndpoints(gateway.now, descriptors(number, number + 1, EndpointState.DRAINING, 0), false);
        assertEquals(0, gateway.countActions("release " + endpoint));
        gateway.endAttempt(1, 0, OK);
        assertEquals(1, gateway.countActions("release " + endpoint));
        gateway.policy.onEndpoints(gateway.now, descriptors(number, number + 1, UP, 0), false);
        assertTrue(gateway.retained.contains(endpoint));
    }

    @Test
    void changesOutsideTheSubsetLeadToNoAction() {
        PolicyHarness gateway = startGateway(7, 100, 2000);
        List<EndpointDescriptor> others = new ArrayList<>(descriptors(0, 100, EndpointState.DRAINING, 0));
        others.removeIf(s -> gateway.retained.contains(s.id()));
        gateway.log.clear();
        gateway.policy.onEndpoints(gateway.now, others, false);
        assertEquals(List.of(), gateway.log);
        assertEquals(others.size(), gateway.policy.unavailableEndpointCount(gateway.now));
        assertTrue(
                gateway.policy.setCordoned(gateway.now, others.get(0).id(), true), "known although outside the subset");
        assertFalse(gateway.policy.setCordoned(gateway.now, "s2000", true), "not listed");
        assertEquals(others.size(), gateway.policy.unavailableEndpointCount(gateway.now));
        gateway.policy.onEndpoints(gateway.now, descriptors(0, 100, UP, 0), false);
        assertEquals(1, gateway.policy.unavailableEndpointCount(gateway.now), "only the cordoned one");
    }

    @Test
    void endpointThatJoinsTheSubsetIsInSlowStartOnlyIfItHasJustStarted() {
        for (double startedAt : new double[] {0, 900}) {
            PolicyHarness gateway = startGateway(7, 100, 2000);
            sendRequests(gateway, 0, 100);
            gateway.policy.onEndpoints(gateway.now, descriptors(2000, 4000, UP, startedAt), false);
            gateway.policy.onEndpoints(gateway.now, descriptors(0, 2000, EndpointState.REMOVED, 0), false);
            long before = gateway.countActions("send");
            sendRequests(gateway, 100, 200);
            long sent = gateway.countActions("send") - before;
            assertTrue(startedAt == 0 ? sent >= 95 : sent <= 60 && sent >= 1, startedAt + ": " + sent);
        }
    }

    @Test
    void listInPartsRemovesUnnamedEndpointsAtItsEnd() {
        PolicyHarness gateway = startGateway(0, 2, 6);
        gateway.policy.onEndpointListStarted(gateway.now);
        gateway.policy.onEndpoints(gateway.now, descriptors(0, 2, UP, 0), false);
        assertEquals(6, gateway.retained.size(), "the list is not complete yet");
        gateway.policy.onEndpointListStarted(gateway.now);
        gateway.policy.onEndpoints(gateway.now, descriptors(2, 4, UP, 0), false);
        gateway.policy.onEndpoints(gateway.now, descriptors(6, 7, UP, 0), false);
        assertEquals(
                7, gateway.policy.endpointCount(), "the previous list was never completed: no endpoint is removed");
        gateway.policy.onEndpointListCompleted(gateway.now);
        assertEquals(Set.of("s2", "s3", "s6"), gateway.retained);
        assertEquals(3, gateway.policy.endpointCount());
        gateway.policy.onEndpointListCompleted(gateway.now); // no list was begun
        assertEquals(3, gateway.retained.size());
    }

    /** The first parts of a long list look like a short list, which would be used completely. */
    @Test
    void firstPartsOfALongListAreNotUsedCompletely() {
        PolicyHarness gateway = startGateway(7, 100, 0);
        gateway.start();
        gateway.advanceTo(600);
        gateway.policy.onEndpointListStarted(gateway.now);
        for (int i = 0; i < 2000; i += 100) {
            gateway.policy.onEndpoints(gateway.now, descriptors(i, i + 100, UP, 0), false);
            gateway.advanceTo(gateway.now + 200);
            assertTrue(gateway.retained.size() <= 40, "at " + i + ": " + gateway.retained.size());
        }
        assertTrue(gateway.retained.size() > 0, "some endpoints are used already");
        gateway.policy.onEndpointListCompleted(gateway.now);
        assertEquals(startGateway(7, 100, 2000).retained, gateway.retained);
    }

    @Test
    void retryThatHasToStayInItsScopeFindsAnEndpointOutsideTheSubset() {
        int retried = 0;
        for (String type : List.of("cell", "zone")) {
            PolicyHarness gateway = startGateway(7, 100, 2000);
            if (type.equals("zone")) { // zone b has one endpoint in the subset and a thousand outside
                List<EndpointDescriptor> draining = new ArrayList<>(descriptors(0, 2000, EndpointState.DRAINING, 0));
                draining.removeIf(
                        s -> !gateway.retained.contains(s.id()) || s.zone().equals("a"));
                gateway.policy.onEndpoints(gateway.now, draining.subList(1, draining.size()), false);
            }
            for (int id = 0; id < 200; id += 5) {
                sendRequests(gateway, id + 1, id + 5); // keeps the send rate from being the limit
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
                    retried++;
                    assertTrue(gateway.retained.contains(second), "retained for the retry");
                }
                gateway.endAttempt(id, 1, OK);
            }
            gateway.advanceTo(gateway.now + 1000);
            assertTrue(
                    gateway.retained.size() < 150,
                    "released after the retries; still retained: " + gateway.retained.size());
        }
        assertTrue(retried > 70, "retries of 80: " + retried);
    }
}
