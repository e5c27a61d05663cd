package quotagateway.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.lifecycle.CloseReason;

class ConnectionTableTest {
    private static final String PING = "*1\r\n$4\r\nPING\r\n";
    private static final double EVICTABLE_AFTER_MS = 500;

    private final ClientConnectionFixture clients = new ClientConnectionFixture(1);

    private EmbeddedDuplexChannel connectAndSend(String input) {
        EmbeddedDuplexChannel channel = clients.connect();
        channel.receive(input);
        channel.sent();
        return channel;
    }

    @Test
    void silentConnectionIsEvictedBeforeAnIdleOne() {
        EmbeddedDuplexChannel idle = connectAndSend(PING);
        EmbeddedDuplexChannel silent = clients.connect();
        clients.loop.advance(EVICTABLE_AFTER_MS + 1);
        clients.table.evictBeyondLimit();
        assertTrue(silent.isOutputShutdown());
        assertFalse(idle.isOutputShutdown());
    }

    @Test
    void newConnectionIsNotEvictedBeforeItsTimeForAFirstCommandIsOver() {
        EmbeddedDuplexChannel busy = connectAndSend(ClientConnectionFixture.REQUEST);
        EmbeddedDuplexChannel fresh = clients.connect();
        clients.loop.advance(EVICTABLE_AFTER_MS);
        clients.table.evictBeyondLimit();
        assertFalse(busy.isOutputShutdown());
        assertFalse(fresh.isOutputShutdown());
        assertFalse(clients.table.hasCapacity());
    }

    @Test
    void longestIdleConnectionIsEvictedAndOneWithAnOpenRequestIsNot() {
        EmbeddedDuplexChannel busy = connectAndSend(ClientConnectionFixture.REQUEST);
        EmbeddedDuplexChannel usedAgain = connectAndSend(PING);
        EmbeddedDuplexChannel idle = connectAndSend(PING);
        usedAgain.receive(PING);
        clients.table.setLimit(2);
        clients.table.evictBeyondLimit();
        assertTrue(idle.isOutputShutdown());
        assertFalse(usedAgain.isOutputShutdown());
        assertFalse(busy.isOutputShutdown());
    }

    @Test
    void connectionWithPartialFirstCommandIsEvictedLast() {
        EmbeddedDuplexChannel partial = connectAndSend("*4\r\n");
        EmbeddedDuplexChannel idle = connectAndSend(PING);
        clients.loop.advance(EVICTABLE_AFTER_MS + 1);
        clients.table.evictBeyondLimit();
        assertTrue(idle.isOutputShutdown());
        assertFalse(partial.isOutputShutdown());
        clients.table.setLimit(0);
        clients.table.evictBeyondLimit();
        assertTrue(partial.isOutputShutdown());
        partial.close();
        assertTrue(clients.closed.contains(CloseReason.EVICTED));
    }

    /** Guards against outages by clients that never close their side: theirs give way behind an idle connection. */
    @Test
    void connectionThatAwaitsItsClientsCloseGivesWayAtTheLimit() {
        EmbeddedDuplexChannel malformed = connectAndSend(PING + "*4\r\n$99999999\r\n");
        EmbeddedDuplexChannel idle = connectAndSend(PING);
        EmbeddedDuplexChannel partial = connectAndSend("*4\r\n");
        clients.loop.advance(EVICTABLE_AFTER_MS + 1);
        clients.table.setLimit(2);
        clients.table.evictBeyondLimit();
        assertTrue(idle.isOutputShutdown());
        assertTrue(malformed.isOpen());
        idle.close();
        clients.table.setLimit(1);
        clients.table.evictBeyondLimit();
        assertTrue(clients.table.hasCapacity());
        assertTrue(malformed.isOpen()); // evicted: closed once others are evicted after it
        clients.table.setLimit(0);
        clients.table.evictBeyondLimit();
        assertFalse(malformed.isOpen());
        assertTrue(partial.isOutputShutdown());
    }

    /** Guards against outages by clients that never read: at the limit the one that is blocked longest is closed. */
    @Test
    void longestBlockedConnectionIsClosedAtTheLimitOnly() {
        EmbeddedDuplexChannel blockedFirst = connectAndBlock();
        clients.loop.advance(1000);
        EmbeddedDuplexChannel blockedLater = connectAndBlock();
        clients.table.setLimit(2);
        clients.loop.advance(ClientConnectionFixture.OUTPUT_BLOCKED_TIMEOUT_MS + 1);
        clients.table.evictBeyondLimit();
        assertTrue(blockedFirst.isOpen());
        clients.connect();
        clients.table.evictBeyondLimit();
        assertFalse(blockedFirst.isOpen());
        assertTrue(blockedLater.isOpen());
        assertEquals(List.of(CloseReason.UNREAD), clients.closed);
    }

    /** Guards against cutting off slow readers: any output that the system takes over starts the time anew. */
    @Test
    void connectionThatTakesOutputSlowlyIsNotClosedForOthers() {
        EmbeddedDuplexChannel slow = connectAndBlock();
        clients.loop.advance(ClientConnectionFixture.OUTPUT_BLOCKED_TIMEOUT_MS - 1);
        slow.blockOutput(false);
        slow.blockOutput(true);
        slow.receive(PING);
        clients.table.sampleOutput();
        clients.loop.advance(ClientConnectionFixture.OUTPUT_BLOCKED_TIMEOUT_MS - 1);
        clients.table.closeLongestBlocked();
        assertTrue(slow.isOpen());
        clients.loop.advance(2);
        clients.table.closeLongestBlocked();
        assertFalse(slow.isOpen());
    }

    private EmbeddedDuplexChannel connectAndBlock() {
        EmbeddedDuplexChannel channel = clients.connect();
        channel.blockOutput(true);
        channel.receive(PING);
        clients.table.sampleOutput();
        return channel;
    }

    @Test
    void overdueCommandIsAnsweredWithAnError() {
        EmbeddedDuplexChannel silent = clients.connect();
        EmbeddedDuplexChannel partial = connectAndSend("*4\r\n");
        EmbeddedDuplexChannel busy = connectAndSend(ClientConnectionFixture.REQUEST + "*4\r\n");
        clients.loop.advance(2500);
        clients.table.rejectOverdueCommands();
        assertEquals("", silent.sent());
        clients.loop.advance(1);
        clients.table.rejectOverdueCommands();
        assertEquals("-ERR no whole command came\r\n", silent.sent());
        assertEquals("-ERR no whole command came\r\n", partial.sent());
        assertEquals("", busy.sent());
    }

    @Test
    void shutdownClosesIdleConnectionsAndWaitsForAFirstCommand() {
        EmbeddedDuplexChannel idle = connectAndSend(PING);
        EmbeddedDuplexChannel fresh = clients.connect();
        EmbeddedDuplexChannel partial = connectAndSend(PING + "*4\r\n");
        clients.table.closeIdle();
        clients.loop.advance(10);
        assertTrue(idle.isOutputShutdown());
        assertFalse(fresh.isOutputShutdown());
        clients.loop.advance(1100);
        assertTrue(fresh.isOutputShutdown());
        assertFalse(partial.isOutputShutdown());
        idle.close();
        assertEquals(List.of(CloseReason.SHUTDOWN_IDLE), clients.closed);
    }

    @Test
    void partialCommandIsAnsweredWithAnErrorWhenTheProcessExits() {
        EmbeddedDuplexChannel partial = connectAndSend("*4\r\n");
        EmbeddedDuplexChannel busy = connectAndSend(ClientConnectionFixture.REQUEST + "*4\r\n");
        EmbeddedDuplexChannel idle = connectAndSend(PING);
        clients.table.closeAll();
        assertEquals("-ERR the edge node ends\r\n", partial.sent());
        assertTrue(idle.isOutputShutdown());
        assertFalse(busy.isOutputShutdown());
        assertFalse(clients.table.isEmpty());
    }
}
