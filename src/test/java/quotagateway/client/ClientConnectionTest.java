package quotagateway.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.lifecycle.CloseReason;
import quotagateway.resp.RespCodec;

class ClientConnectionTest {
    private static final int LARGE_BODY_BYTES = RespCodec.MAX_BUFFERED_VALUE_BYTES + 1000;
    private static final String LARGE_REQUEST =
            "*5\r\n$9\r\nCALL.POST\r\n$1\r\nc\r\n$1\r\ni\r\n$1\r\na\r\n$" + LARGE_BODY_BYTES + "\r\n";
    private static final int NO_COMMAND_LINGER_MS = 200;
    private static final int LONG_MS = 3_600_000;

    private final ClientConnectionFixture clients = new ClientConnectionFixture(10);
    private final EmbeddedDuplexChannel channel = clients.connect();

    @Test
    void responsesAreWrittenInTheOrderOfTheCommands() {
        channel.receive(ClientConnectionFixture.REQUEST + ClientConnectionFixture.REQUEST + "*1\r\n$4\r\nPING\r\n");
        clients.requests.get(1).fail("second");
        assertEquals("", channel.sent());
        clients.requests.get(0).fail("first");
        assertEquals("-ERR first\r\n-ERR second\r\n+PONG\r\n", channel.sent());
    }

    @Test
    void rejectedCommandIsAnsweredWithItsError() {
        clients.errorText = "a number is malformed";
        channel.receive(ClientConnectionFixture.REQUEST);
        assertEquals("-ERR a number is malformed\r\n", channel.sent());
        assertTrue(channel.isOpen());
    }

    @Test
    void unknownCommandsAndOtherMessagesAreAnsweredWithAnError() {
        channel.receive("*1\r\n$3\r\nGET\r\n+hello\r\n*0\r\n");
        assertEquals("-ERR unknown command\r\n-ERR a command expected\r\n-ERR a command expected\r\n", channel.sent());
    }

    @Test
    void malformedInputFailsOpenRequestsAndClosesTheConnection() {
        channel.receive(ClientConnectionFixture.REQUEST);
        channel.receive("*4\r\n$99999999\r\n");
        assertEquals("-ERR failed\r\n-ERR malformed\r\n", channel.sent());
        assertTrue(channel.isOutputShutdown());
        assertTrue(channel.isOpen());
        channel.receive(ClientConnectionFixture.REQUEST);
        channel.close();
        assertEquals(1, clients.requests.size());
        assertEquals(List.of(CloseReason.MALFORMED), clients.closed);
    }

    @Test
    void connectionWithoutACommandIsClosedSoonAfterItsErrorLine() {
        channel.receive("*4\r\n$99999999\r\n");
        assertEquals("-ERR malformed\r\n", channel.sent());
        assertTrue(channel.isOutputShutdown());
        assertTrue(channel.isOpen());
        channel.advance(NO_COMMAND_LINGER_MS);
        assertFalse(channel.isOpen());
        assertEquals(List.of(CloseReason.MALFORMED), clients.closed);
    }

    /**
     * Guards against a reset under a value that the client still reads while it sends on (review/8): however long that
     * takes, its socket is not closed before the client's side, and its input is read and dropped.
     */
    @Test
    void closedConnectionIsReadUntilItsClientCloses() {
        channel.receive(ClientConnectionFixture.REQUEST);
        clients.requests.get(0).fail("failed");
        channel.sent();
        clients.table.closeIdle();
        clients.loop.advance(10);
        assertTrue(channel.isOutputShutdown());
        for (int i = 0; i < 10; i++) {
            channel.advance(LONG_MS);
            clients.loop.advance(LONG_MS);
            assertTrue(channel.config().isAutoRead());
            channel.receive(ClientConnectionFixture.REQUEST);
        }
        assertTrue(channel.isOpen());
        assertEquals(1, clients.requests.size());
        channel.close();
        assertEquals(List.of(CloseReason.SHUTDOWN_IDLE), clients.closed);
    }

    /** Guards against cutting off output that the system takes slowly, or not for a while, behind the last response. */
    @Test
    void unsentOutputIsNotCutOffWhenTheConnectionCloses() {
        channel.receive(ClientConnectionFixture.REQUEST);
        clients.table.closeAfterResponses();
        channel.blockOutput(true);
        clients.requests.get(0).fail("failed");
        channel.advance(LONG_MS);
        assertTrue(channel.isOpen());
        assertFalse(channel.isOutputShutdown());
        channel.blockOutput(false);
        assertEquals("-ERR failed\r\n", channel.sent());
        assertTrue(channel.isOutputShutdown());
    }

    /** A large body is dropped as it arrives, and its command is submitted without it, to be rejected. */
    @Test
    void largeBodyWithoutMemoryIsDropped() {
        clients.hasRoomForRequests = false;
        channel.receive(LARGE_REQUEST + "x".repeat(1000));
        assertTrue(clients.requests.get(0).body.isConsumed());
        channel.receive("x".repeat(LARGE_BODY_BYTES - 1000) + "\r\n" + ClientConnectionFixture.REQUEST);
        assertEquals(2, clients.requests.size());
    }

    @Test
    void commandsAreHeldBackWhileMemoryIsExhausted() {
        clients.memoryExhausted = true;
        channel.receive(ClientConnectionFixture.REQUEST);
        channel.receive(ClientConnectionFixture.REQUEST);
        assertEquals(1, clients.requests.size());
        clients.memoryExhausted = false;
        clients.table.resumeReading();
        channel.runPendingTasks();
        assertEquals(2, clients.requests.size());
    }

    @Test
    void shutdownClosesTheConnectionAfterItsLastResponse() {
        channel.receive(ClientConnectionFixture.REQUEST);
        clients.table.closeAfterResponses();
        assertFalse(channel.isOutputShutdown());
        clients.requests.get(0).fail("failed");
        assertEquals("-ERR failed\r\n", channel.sent());
        assertTrue(channel.isOutputShutdown());
        channel.receive(ClientConnectionFixture.REQUEST);
        assertEquals(1, clients.requests.size());
        channel.close();
        assertEquals(List.of(CloseReason.SHUTDOWN_ANSWERED), clients.closed);
    }

    @Test
    void disconnectNotifiesOnlyOpenRequests() {
        channel.receive(ClientConnectionFixture.REQUEST + ClientConnectionFixture.REQUEST);
        clients.requests.get(0).fail("failed");
        channel.close();
        assertFalse(clients.requests.get(0).clientDisconnected);
        assertTrue(clients.requests.get(1).clientDisconnected);
        assertTrue(clients.requests.get(1).slot.isDisconnected());
        assertEquals(List.of(CloseReason.CLOSED_BY_PEER), clients.closed);
    }

    @Test
    void commandWithLargeBodyIsSubmittedOnceEnoughIsBuffered() {
        channel.receive(LARGE_REQUEST);
        channel.receive("x".repeat(RespCodec.MAX_BUFFERED_VALUE_BYTES - 1));
        assertEquals(0, clients.requests.size());
        channel.receive("x");
        assertEquals(1, clients.requests.size());
        assertEquals(LARGE_BODY_BYTES, clients.requests.get(0).body.length());
        assertFalse(clients.requests.get(0).body.isComplete());
    }

    @Test
    void largeBodyOfAnAnsweredRequestIsDroppedAndTheNextCommandAccepted() {
        clients.errorText = "d is out of range";
        channel.receive(LARGE_REQUEST);
        channel.receive("x".repeat(RespCodec.MAX_BUFFERED_VALUE_BYTES));
        assertEquals("-ERR d is out of range\r\n", channel.sent());
        clients.errorText = null;
        channel.receive("x".repeat(LARGE_BODY_BYTES - RespCodec.MAX_BUFFERED_VALUE_BYTES) + "\r\n"
                + ClientConnectionFixture.REQUEST);
        assertEquals(1, clients.requests.size());
        assertNull(clients.requests.get(0).body);
    }

    /**
     * Guards against requests that are sent on after their client has left (picture c of the review): its end comes
     * behind all that it sent, so input beyond what is kept is refused, in its order, and not left unread.
     */
    @Test
    void requestsBeyondTheInputThatIsKeptAreRefused() {
        int sent = 0;
        while (clients.refusedCount == 0 && sent < 100_000) {
            channel.receive(ClientConnectionFixture.REQUEST.repeat(100));
            sent += 100;
            channel.runPendingTasks();
        }
        assertTrue(clients.refusedCount > 0);
        assertTrue(channel.config().isAutoRead());
        List.copyOf(clients.requests).forEach(request -> request.fail("failed"));
        String answers = channel.sent();
        assertTrue(answers.startsWith("-ERR failed\r\n".repeat(256)));
        assertTrue(answers.contains("-BUSY\r\n".repeat(clients.refusedCount)));
    }
}
