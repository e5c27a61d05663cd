package quotagateway.policy.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.testing.PolicyFixtures;

class EndpointCatalogTest {
    private static final int BUCKETS = 5;

    private final EndpointCatalog catalog = new EndpointCatalog(BUCKETS);

    private static List<EndpointDescriptor> endpoints(int from, int to, EndpointState state) {
        return IntStream.range(from, to)
                .mapToObj(number -> PolicyFixtures.endpoint(number, state))
                .toList();
    }

    private Set<String> inBuckets(int from, int to) {
        return catalog.inBuckets(IntStream.range(from, to))
                .map(EndpointDescriptor::id)
                .collect(Collectors.toSet());
    }

    @Test
    void listedEndpointIsFoundAsItWasListed() {
        catalog.update(endpoints(0, 100, EndpointState.UP), true);
        assertEquals(PolicyFixtures.endpoint(42, EndpointState.UP), catalog.get("s42"));
        assertNull(catalog.get("s100"));
        assertEquals(100, catalog.size());
        assertEquals(100, catalog.upCount());
    }

    @Test
    void everyEndpointIsInExactlyOneBucket() {
        catalog.update(endpoints(0, 300, EndpointState.UP), true);
        int total = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            total += inBuckets(bucket, bucket + 1).size();
        }
        assertEquals(300, total);
        assertEquals(300, inBuckets(0, BUCKETS).size());
    }

    @Test
    void changesMoveEndpointsBetweenStates() {
        catalog.update(endpoints(0, 10, EndpointState.UP), true);
        catalog.update(endpoints(0, 3, EndpointState.DRAINING), false);
        catalog.update(endpoints(9, 10, EndpointState.REMOVED), false);
        assertEquals(9, catalog.size());
        assertEquals(6, catalog.upCount());
        assertFalse(catalog.isUp("s0"));
        assertTrue(catalog.isUp("s5"));
        assertNull(catalog.get("s9"));
        assertEquals(Set.of("s3", "s4", "s5", "s6", "s7", "s8"), inBuckets(0, BUCKETS));
    }

    @Test
    void completeListRemovesEndpointsThatItDoesNotName() {
        catalog.update(endpoints(0, 10, EndpointState.UP), true);
        catalog.update(endpoints(5, 15, EndpointState.UP), true);
        assertEquals(10, catalog.size());
        assertNull(catalog.get("s4"));
    }

    @Test
    void unfinishedListRemovesNothing() {
        catalog.update(endpoints(0, 10, EndpointState.UP), true);
        catalog.beginList();
        catalog.update(endpoints(0, 2, EndpointState.UP), false);
        catalog.beginList();
        catalog.update(endpoints(3, 10, EndpointState.UP), false);
        assertEquals(10, catalog.size());
        catalog.endList();
        assertEquals(7, catalog.size());
        catalog.endList();
        assertEquals(7, catalog.size(), "no list was begun");
    }

    @Test
    void firstListIsIncompleteUntilItsEnd() {
        assertFalse(catalog.isFirstListIncomplete());
        catalog.beginList();
        assertTrue(catalog.isFirstListIncomplete());
        catalog.endList();
        catalog.beginList();
        assertFalse(catalog.isFirstListIncomplete(), "the second list");
    }

    @Test
    void cellContainsItsEndpointsThatAreUp() {
        catalog.update(endpoints(0, 200, EndpointState.UP), true);
        catalog.update(endpoints(10, 11, EndpointState.DRAINING), false);
        assertEquals(
                List.of("s11"), catalog.inCell(5).map(EndpointDescriptor::id).toList());
        assertEquals(2, catalog.inCell(6).count());
    }

    @Test
    void movedEndpointIsOnlyInItsNewCell() {
        catalog.update(endpoints(0, 4, EndpointState.UP), true);
        EndpointDescriptor moved = new EndpointDescriptor("s0", 7, "a", EndpointState.UP, "k", 0, 1, 0);
        catalog.update(List.of(moved), false);
        assertEquals(
                List.of("s1"), catalog.inCell(0).map(EndpointDescriptor::id).toList());
        assertEquals(
                List.of("s0"), catalog.inCell(7).map(EndpointDescriptor::id).toList());
        assertEquals(4, catalog.size());
    }

    @Test
    void removedEndpointsDoNotAccumulate() {
        for (int round = 0; round < 50; round++) {
            catalog.update(endpoints(round * 100, round * 100 + 100, EndpointState.UP), true);
        }
        assertEquals(100, catalog.size());
        assertEquals(100, inBuckets(0, BUCKETS).size());
        long inCells = IntStream.range(0, 2500)
                .mapToLong(cell -> catalog.inCell(cell).count())
                .sum();
        assertEquals(100, inCells);
    }
}
