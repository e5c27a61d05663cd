package quotagateway.policy.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ConsistentHashRingTest {
    @Test
    void endpointsMoveOnlyIntoAnAddedBucket() {
        int moved = 0;
        for (int i = 0; i < 10_000; i++) {
            int before = ConsistentHashRing.bucket("10.0.0." + i, 20);
            int after = ConsistentHashRing.bucket("10.0.0." + i, 21);
            assertTrue(before == after || after == 20, "from " + before + " to " + after);
            moved += before == after ? 0 : 1;
        }
        assertEquals(10_000 / 21.0, moved, 80);
    }

    @Test
    void bucketsAreFilledEvenly() {
        int[] counts = new int[10];
        for (int i = 0; i < 10_000; i++) {
            counts[ConsistentHashRing.bucket("s" + i, 10)]++;
        }
        for (int count : counts) {
            assertEquals(1000, count, 120);
        }
    }

    @Test
    void everyGatewayHasAUniquePosition() {
        int distinct = (int) IntStream.range(0, 333)
                .map(gateway -> ConsistentHashRing.position(gateway, 333))
                .distinct()
                .count();
        assertEquals(333, distinct);
    }

    @Test
    void addedGatewayChangesThePositionOfOneOther() {
        long changed = IntStream.range(0, 100)
                .filter(gateway ->
                        ConsistentHashRing.position(gateway, 100) != ConsistentHashRing.position(gateway, 101))
                .count();
        assertTrue(changed <= 2, "changed: " + changed);
    }
}
