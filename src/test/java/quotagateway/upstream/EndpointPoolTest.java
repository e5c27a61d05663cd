package quotagateway.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointState;

class EndpointPoolTest {
    private static final String OK = "*3\r\n$1\r\nv\r\n$-1\r\n$9\r\nutil=0.25\r\n";
    private static final String GET_A = "*2\r\n$3\r\nGET\r\n$1\r\na\r\n";
    private static final String GET_B = "*2\r\n$3\r\nGET\r\n$1\r\nb\r\n";

    private final EndpointSide endpoints = new EndpointSide(3);
    private final EndpointPool pool = endpoints.pool;

    @Test
    void poolIsReadyOnceThePolicysFirstEndpointsAreConnected() {
        pool.retain(EndpointSide.descriptor("s", 1, EndpointState.UP));
        pool.onPolicyNotified();
        assertFalse(pool.ready().isDone());
        endpoints.last().refuse();
        assertTrue(pool.ready().isDone());
    }

    /** A value that was dropped for want of memory must not be taken for an empty one. */
    @Test
    void replyWithoutMemoryForItsValueIsAnError() {
        endpoints.hasRoomForResponses = false;
        EndpointSide.Peer peer = endpoints.connected("s", 1);
        endpoints.send("a", "s");
        peer.received();
        peer.reply("*3\r\n$50000\r\n" + "x".repeat(20_000));
        peer.reply("x".repeat(30_000) + "\r\n$-1\r\n$-1\r\n");
        assertEquals(List.of("a written", "a ERROR"), endpoints.takeEvents());
        endpoints.loop.advance(100);
        endpoints.send("b", "s");
        peer.reply(OK);
        assertEquals(List.of("b written", "b OK v [0.25, NaN]"), endpoints.takeEvents());
    }

    @Test
    void attemptIsWrittenOnTheConnectionMadeAheadAndEndsWithItsReply() {
        EndpointSide.Peer peer = endpoints.connected("s", 1);
        endpoints.send("a", "s");
        assertEquals(GET_A, peer.received());
        peer.reply(OK);
        assertEquals(List.of("a written", "a OK v [0.25, NaN]"), endpoints.takeEvents());
        assertEquals(1, endpoints.peers.size());
    }

    @Test
    void connectionRestsBehindAReplyBeforeItIsUsedAgain() {
        EndpointSide.Peer peer = endpoints.connected("s", 1);
        endpoints.send("a", "s");
        peer.reply(OK);
        peer.received();
        endpoints.send("b", "s");
        assertEquals("", peer.received());
        endpoints.loop.advance(2);
        assertEquals(GET_B, peer.received());
        assertEquals(1, endpoints.peers.size());
    }

    @Test
    void secondAttemptConnectsWhileTheFirstIsInFlight() {
        endpoints.connected("s", 1);
        endpoints.send("a", "s");
        endpoints.send("b", "s");
        assertEquals(2, endpoints.peers.size());
        endpoints.last().accept();
        assertEquals(GET_B, endpoints.last().received());
    }

    @Test
    void failedConnectEndsTheOldestAttemptThatWaits() {
        endpoints.connected("s", 1);
        endpoints.send("a", "s");
        endpoints.send("b", "s");
        endpoints.send("c", "s");
        endpoints.takeEvents();
        endpoints.last().refuse();
        endpoints.loop.runPending();
        assertEquals(List.of("b NO_CONNECTION"), endpoints.takeEvents());
        endpoints.peers.get(1).accept();
        assertTrue(endpoints.peers.get(1).received().endsWith("c\r\n"));
    }

    @Test
    void idleConnectionOfAnotherEndpointIsClosedAtTheLimit() {
        EndpointSide.Peer idle = endpoints.connected("s", 1);
        endpoints.connected("t", 2);
        endpoints.send("a", "t");
        endpoints.send("b", "t");
        endpoints.last().accept();
        endpoints.takeEvents();
        endpoints.send("c", "t");
        assertFalse(idle.isOpen());
        assertEquals(List.of("closed s ROOM"), endpoints.takeEvents());
        endpoints.last().accept();
        endpoints.send("d", "t");
        endpoints.loop.runPending();
        assertEquals(List.of("c written", "d NO_CONNECTION"), endpoints.takeEvents());
    }

    @Test
    void attemptToAnEndpointThatIsNotInUseEndsWithoutAConnection() {
        endpoints.send("a", "s");
        assertEquals(List.of(), endpoints.takeEvents());
        endpoints.loop.runPending();
        assertEquals(List.of("a NO_CONNECTION"), endpoints.takeEvents());
    }

    @Test
    void abandonedAttemptClosesItsConnection() {
        EndpointSide.Peer peer = endpoints.connected("s", 1);
        Attempt attempt = endpoints.send("a", "s");
        pool.abandon(attempt, CallOutcome.TIMEOUT);
        pool.abandon(attempt, CallOutcome.CANCELLED);
        assertFalse(peer.isOpen());
        assertEquals(List.of("a written", "a TIMEOUT", "closed s ATTEMPT_GIVEN_UP"), endpoints.takeEvents());
    }

    @Test
    void timeoutBeforeAConnectionIsNoTimeoutOfTheEndpoint() {
        pool.retain(EndpointSide.descriptor("s", 1, EndpointState.UP));
        Attempt attempt = endpoints.send("a", "s");
        pool.abandon(attempt, CallOutcome.TIMEOUT);
        assertEquals(List.of("a NO_CONNECTION"), endpoints.takeEvents());
        endpoints.peers.get(0).accept();
        assertEquals("", endpoints.peers.get(0).received());
    }

    @Test
    void onlyAnUnwrittenAttemptIsCancelledWhenItsClientHasGone() {
        endpoints.connected("s", 1);
        Attempt written = endpoints.send("a", "s");
        Attempt waiting = endpoints.send("b", "s");
        pool.cancelUnwritten(written);
        pool.cancelUnwritten(waiting);
        assertEquals(List.of("a written", "b NOT_SENT"), endpoints.takeEvents());
    }

    @Test
    void deniedAttemptIsNotWrittenWhenAConnectionComesUp() {
        pool.retain(EndpointSide.descriptor("s", 1, EndpointState.UP));
        EndpointSide.Request request = endpoints.new Request("a");
        endpoints.send(request, "s");
        request.denied = true;
        endpoints.peers.get(0).accept();
        endpoints.loop.runPending();
        assertEquals("", endpoints.peers.get(0).received());
        assertEquals(List.of("a NOT_SENT"), endpoints.takeEvents());
    }

    @Test
    void healthCheckIsToldWithItsLoadOrAsATimeout() {
        EndpointSide.Peer peer = endpoints.connected("s", 1);
        pool.checkHealth("s");
        endpoints.loop.flush();
        assertEquals("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n", peer.received());
        endpoints.loop.advance(10);
        peer.reply("$20\r\ninflight=3,util=0.50\r\n");
        assertEquals(List.of("check s OK 10.0 [0.5, 3.0]"), endpoints.takeEvents());
        endpoints.loop.advance(10);
        pool.checkHealth("s");
        endpoints.loop.flush();
        endpoints.loop.advance(250);
        assertFalse(peer.isOpen());
        assertEquals(List.of("check s TIMEOUT 250.0 []", "closed s ATTEMPT_GIVEN_UP"), endpoints.takeEvents());
    }

    @Test
    void endpointThatHasMovedIsConnectedAtItsNewAddress() {
        EndpointSide.Peer old = endpoints.connected("s", 1);
        pool.onEndpoints(List.of(EndpointSide.descriptor("s", 2, EndpointState.UP)));
        assertFalse(old.isOpen());
        assertEquals(2, endpoints.last().address);
        assertEquals(List.of("closed s SERVER_NOT_USED"), endpoints.takeEvents());
    }

    @Test
    void drainingEndpointEndsWhatIsInFlightAndTakesNothingNew() {
        EndpointSide.Peer peer = endpoints.connected("s", 1);
        endpoints.send("a", "s");
        pool.onEndpoints(List.of(EndpointSide.descriptor("s", 1, EndpointState.DRAINING)));
        endpoints.send("b", "s");
        endpoints.loop.runPending();
        assertTrue(peer.isOpen());
        peer.reply(OK);
        assertFalse(peer.isOpen());
        assertEquals(
                List.of("a written", "b NO_CONNECTION", "a OK v [0.25, NaN]", "closed s SERVER_NOT_USED"),
                endpoints.takeEvents());
    }

    @Test
    void endpointThatAWholeListDoesNotNameIsRemoved() {
        endpoints.connected("s", 1);
        endpoints.connected("t", 2);
        pool.onEndpointListStarted();
        pool.onEndpoints(List.of(EndpointSide.descriptor("t", 2, EndpointState.UP)));
        pool.onEndpointListCompleted();
        assertNull(pool.descriptor("s"));
        assertEquals("t", pool.descriptor("t").id());
    }

    @Test
    void idleConnectionIsClosedAheadOfTheEndpointsLimit() {
        EndpointSide.Peer peer = endpoints.connected("s", 1);
        pool.start();
        endpoints.loop.advance(EndpointSide.KEEP_ALIVE_MS - 3000 - 500);
        assertTrue(peer.isOpen());
        endpoints.loop.advance(1000);
        assertFalse(peer.isOpen());
        assertEquals(List.of("closed s RETIRED"), endpoints.takeEvents());
    }
}
