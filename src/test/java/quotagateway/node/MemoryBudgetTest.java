package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import quotagateway.transport.DirectMemory;
import quotagateway.transport.ManualEventLoop;

/** The memory budget: when reading from clients stops, and when it resumes. */
class MemoryBudgetTest {
    private static final int LIMIT = 8 << 20;
    private static final int REQUEST_LIMIT = LIMIT / 2;
    private static final int RESPONSE_LIMIT = LIMIT / 4 * 3;

    private final ManualEventLoop loop = new ManualEventLoop();
    private final AtomicLong inUse = new AtomicLong();
    private final DirectMemory memory = new DirectMemory(inUse::get, inUse::get, LIMIT);
    private final MemoryBudget budget = new MemoryBudget(loop, memory);

    @Test
    void regainedAvailabilityIsReportedOnce() {
        AtomicInteger reports = new AtomicInteger();
        budget.onAvailable(reports::incrementAndGet);
        inUse.set(RESPONSE_LIMIT);
        assertFalse(budget.isExhausted());
        inUse.set(RESPONSE_LIMIT + 1);
        assertTrue(budget.isExhausted());
        assertTrue(budget.isExhausted());
        loop.advance(100);
        assertEquals(0, reports.get());
        inUse.set(RESPONSE_LIMIT);
        loop.advance(10);
        assertFalse(budget.isExhausted());
        loop.advance(100);
        assertEquals(1, reports.get());
    }

    /** Requests that wait for their responses must not take the room that these need. */
    @Test
    void requestsLeaveRoomForResponses() {
        inUse.set(REQUEST_LIMIT);
        assertTrue(budget.hasRoomForRequest(0));
        assertFalse(budget.hasRoomForRequest(1));
        assertTrue(memory.hasRoomForResponse(RESPONSE_LIMIT - REQUEST_LIMIT));
        assertFalse(memory.hasRoomForResponse(RESPONSE_LIMIT - REQUEST_LIMIT + 1));
    }

    /** Two processes of an upgrade together stay within the limit of one. */
    @Test
    void processesOfAnUpgradeShareTheLimit() {
        memory.setProcessCount(2);
        assertEquals(LIMIT / 2, memory.limitBytes());
        inUse.set(REQUEST_LIMIT / 2);
        assertFalse(budget.hasRoomForRequest(1));
        memory.setProcessCount(1);
        assertTrue(budget.hasRoomForRequest(1));
    }
}
