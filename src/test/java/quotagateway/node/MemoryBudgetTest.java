package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** The memory budget: when reading from clients stops, and when it resumes. */
class MemoryBudgetTest {
    private static final int MAX_BYTES = 8 << 20;

    @Test
    void regainedAvailabilityIsReportedOnce() {
        MemoryBudget memory = new MemoryBudget();
        AtomicInteger reports = new AtomicInteger();
        memory.onAvailable(reports::incrementAndGet);
        memory.reserve(MAX_BYTES);
        assertFalse(memory.isExhausted());
        memory.reserve(2);
        assertTrue(memory.isExhausted());
        memory.release(1);
        assertTrue(memory.isExhausted());
        assertEquals(0, reports.get());
        memory.release(1);
        assertFalse(memory.isExhausted());
        memory.release(MAX_BYTES);
        assertEquals(1, reports.get());
    }
}
