package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.transport.ManualEventLoop;

class ResponseDeadlineTest {
    private static final double CLIENT_TIMEOUT_MS = 3000;
    private static final double RESPONSE_MARGIN_MS = 10;
    private static final double RESPONSE_TIME_MS = CLIENT_TIMEOUT_MS - RESPONSE_MARGIN_MS;
    private static final double NO_LATEST_TIME = Double.MAX_VALUE;

    private final ManualEventLoop loop = new ManualEventLoop();
    private final double startMs = loop.now();
    /** When the last byte arrived; NaN while it has not, and the socket is empty. */
    private double lastByteAtMs = Double.NaN;

    private int passed;
    private final ResponseDeadline deadline = new ResponseDeadline(
            loop,
            () -> Double.isNaN(lastByteAtMs) ? loop.now() : lastByteAtMs,
            CLIENT_TIMEOUT_MS,
            RESPONSE_MARGIN_MS,
            NO_LATEST_TIME);

    /** Guards against an answer that is late as its time was set before the last byte (review/7). */
    @Test
    void timeCountsFromTheLastByteHoweverLongTheRestTook() {
        deadline.start(() -> passed++);
        loop.advance(20_000);
        assertEquals(RESPONSE_TIME_MS, deadline.remainingMs());
        lastByteAtMs = loop.now();
        loop.advance(RESPONSE_TIME_MS - 1);
        assertEquals(0, passed);
        loop.advance(2);
        assertEquals(1, passed);
    }

    /** Guards against a late answer where the last byte was in a socket that was not read (picture d of the review). */
    @Test
    void timeCountsFromThePauseWhileInputMayBeUnread() {
        deadline.start(() -> passed++);
        loop.advance(500);
        lastByteAtMs = loop.now();
        loop.advance(RESPONSE_TIME_MS + 1);
        assertEquals(1, passed);
        assertTrue(deadline.hasPassed(loop.now()));
    }

    @Test
    void shutdownBoundsTheTimeOfARequestThatIsStillArriving() {
        deadline.start(() -> passed++);
        deadline.bringForwardTo(startMs + 5000);
        loop.advance(4999);
        assertFalse(deadline.hasPassed(loop.now()));
        assertEquals(1, deadline.remainingMs());
        loop.advance(2);
        assertEquals(1, passed);
    }
}
