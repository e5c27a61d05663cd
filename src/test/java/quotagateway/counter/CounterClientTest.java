package quotagateway.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CounterClientTest {
    private static final String PING = "*1\r\n$4\r\nPING\r\n";

    private static String bulk(String text) {
        return "$" + text.length() + "\r\n" + text + "\r\n";
    }

    @Test
    void nameKeepsToOneConnectionAndRepliesGoToItsCallsInOrder() {
        SimulatedCounter s = SimulatedCounter.connected();
        assertTrue(s.client.ready().isDone());
        s.client.add(6, 1, 4000);
        s.client.add(2, 2, 4000);
        EmbeddedChannel connection = s.connections.get(2);
        assertEquals(
                "*4\r\n" + bulk("CNT.ADD") + bulk("6") + bulk("1") + bulk("4000") + "*4\r\n" + bulk("CNT.ADD")
                        + bulk("2") + bulk("2") + bulk("4000"),
                SimulatedCounter.written(connection));
        s.runTo(20);
        s.reply(connection, bulk("11") + "-BUSY\r\n");
        assertEquals(List.of("6 OK 20.0 11.0", "2 FULL 20.0 0.0"), s.outcomes);
    }

    @Test
    void callWithoutReplyTimesOutOnceAndItsLateReplyKeepsItsPlace() {
        SimulatedCounter s = SimulatedCounter.connected();
        s.client.add(4, 1, 4000);
        s.runTo(100);
        s.client.add(8, 1, 4000);
        s.runTo(160);
        s.reply(s.connections.get(0), bulk("1") + bulk("2"));
        assertEquals(List.of("4 TIMEOUT 150.0 0.0", "8 OK 60.0 2.0"), s.outcomes);
    }

    @Test
    void replyThatCannotBeReadFailsTheOldestCallAndResetsTheOthers() {
        SimulatedCounter s = SimulatedCounter.connected();
        s.client.add(0, 1, 4000);
        s.client.add(4, 1, 4000);
        EmbeddedChannel connection = s.connections.get(0);
        s.reply(connection, bulk("Infinity"));
        assertEquals(List.of("0 ERROR 0.0 0.0", "4 RESET 0.0 0.0"), s.outcomes);
        assertFalse(connection.isOpen());
        s.runTo(0);
        assertEquals(1, s.attempts.size(), "a connection that has replied before is opened anew at once");
    }

    @Test
    void partOfAReplyAtTheTimeoutEndsTheConnection() {
        SimulatedCounter s = SimulatedCounter.connected();
        s.client.add(0, 1, 4000);
        s.reply(s.connections.get(0), "$5\r\n12");
        s.runTo(150);
        assertEquals(
                List.of("0 ERROR 150.0 0.0", "failure counter"),
                s.outcomes,
                "the codec too tells of the part of a reply");
        assertFalse(s.connections.get(0).isOpen());
    }

    @Test
    void callsWaitForAConnectionThatEndedAndAreSentWhenItIsBack() {
        SimulatedCounter s = SimulatedCounter.connected();
        s.client.add(0, 1, 4000);
        s.end(s.connections.get(0));
        s.runTo(1);
        s.client.add(4, 1, 4000);
        EmbeddedChannel next = s.accept();
        assertTrue(SimulatedCounter.written(next).contains(bulk("CNT.ADD") + bulk("4")));
        s.runTo(5);
        s.reply(next, bulk("1"));
        assertEquals(List.of("0 RESET 0.0 0.0", "4 OK 4.0 1.0"), s.outcomes);
    }

    @Test
    void callsAreRefusedWhileTheConnectionBacksOffAndWithoutACounter() {
        SimulatedCounter s = SimulatedCounter.connected();
        s.end(s.connections.get(0));
        s.runTo(1);
        s.client.add(0, 1, 4000);
        s.refuse();
        s.client.add(4, 1, 4000);
        s.runTo(2);
        assertEquals(List.of("0 NO_CONNECTION 0.0 0.0", "4 NO_CONNECTION 0.0 0.0"), s.outcomes);
        SimulatedCounter none = new SimulatedCounter(null);
        none.client.start();
        assertTrue(none.client.ready().isDone());
        none.client.add(0, 1, 4000);
        assertEquals(List.of(), none.outcomes, "not before the call has returned");
        none.runTo(1);
        assertEquals(List.of("0 NO_CONNECTION 0.0 0.0"), none.outcomes);
    }

    @Test
    void reconnectDelayGrowsToItsBoundAndIsJittered() {
        SimulatedCounter s = SimulatedCounter.connected();
        s.end(s.connections.get(0));
        double failedAt = 0;
        List<Double> delays = new ArrayList<>();
        for (double time = 0; delays.size() < 6; time++) {
            s.runTo(time);
            for (EmbeddedChannel other : s.connections.subList(1, 4)) {
                if (SimulatedCounter.written(other).equals(PING)) {
                    s.reply(other, "+PONG\r\n"); // it is not to end meanwhile
                }
            }
            if (!s.attempts.isEmpty()) {
                delays.add(s.attempts.get(0).at() - failedAt);
                failedAt = time;
                s.refuse();
            }
        }
        assertEquals(0, delays.get(0));
        double[] longest = {200, 400, 800, 800, 800};
        for (int i = 0; i < longest.length; i++) {
            double delay = delays.get(i + 1);
            assertTrue(delay > longest[i] / 2 - 1 && delay <= longest[i], i + ": " + delay);
        }
    }

    @Test
    void idleConnectionIsPingedAndOneThatDoesNotReplyIsClosed() {
        SimulatedCounter s = SimulatedCounter.connected();
        s.runTo(1199);
        EmbeddedChannel connection = s.connections.get(0);
        assertEquals("", SimulatedCounter.written(connection));
        s.runTo(1200);
        assertEquals(PING, SimulatedCounter.written(connection));
        s.reply(connection, "+PONG\r\n");
        s.runTo(1800);
        assertTrue(connection.isOpen());
        assertFalse(s.connections.get(1).isOpen());
        assertEquals(List.of(), s.outcomes);
    }

    @Test
    void newAddressTakesOverOnceNoCallWaitsOnTheOldConnection() {
        SimulatedCounter s = SimulatedCounter.connected();
        s.client.add(0, 1, 4000);
        s.client.reconnectTo(SimulatedCounter.OTHER_ADDRESS);
        assertEquals(4, s.attempts.size());
        s.client.add(1, 1, 4000);
        assertTrue(SimulatedCounter.written(s.connections.get(1)).contains(bulk("1")), "until the new one is up");
        s.acceptAll();
        s.client.add(4, 1, 4000);
        s.client.add(2, 1, 4000);
        EmbeddedChannel old = s.connections.get(0);
        assertTrue(SimulatedCounter.written(old).contains(bulk("CNT.ADD") + bulk("4")), "a call waits there");
        assertTrue(SimulatedCounter.written(s.connections.get(6)).contains(bulk("CNT.ADD") + bulk("2")));
        assertFalse(s.connections.get(2).isOpen(), "nothing is owed on it");
        s.reply(old, bulk("1") + bulk("2"));
        s.client.add(8, 1, 4000);
        assertTrue(SimulatedCounter.written(s.connections.get(4)).contains(bulk("CNT.ADD") + bulk("8")));
        assertFalse(old.isOpen());
        assertEquals(List.of("0 OK 0.0 1.0", "4 OK 0.0 2.0"), s.outcomes);
    }

    @Test
    void addressConfiguredAgainOpensConnectionsOfItsOwn() {
        SimulatedCounter s = new SimulatedCounter(SimulatedCounter.ADDRESS);
        s.client.start();
        for (int i = 0; i < 4; i++) {
            s.refuse();
        }
        s.client.reconnectTo(SimulatedCounter.OTHER_ADDRESS);
        s.client.reconnectTo(SimulatedCounter.ADDRESS);
        s.runTo(2000);
        assertEquals(
                8, s.attempts.size(), "four to each new configuration; those of the first are not repeated any more");
    }

    /**
     * Two configurations follow one another while connections to the first are still coming up. Nothing used those any
     * more, but they stayed open, on descriptors that clients need, until the counter ended them.
     */
    @Test
    void connectionThatComesUpBehindTheNextConfigurationIsClosed() {
        SimulatedCounter s = SimulatedCounter.connected();
        s.client.reconnectTo(SimulatedCounter.OTHER_ADDRESS);
        s.client.reconnectTo(SimulatedCounter.ADDRESS);
        assertEquals(8, s.attempts.size());
        s.acceptAll();
        for (EmbeddedChannel replaced : s.connections.subList(4, 8)) {
            assertFalse(replaced.isOpen());
        }
        for (EmbeddedChannel current : s.connections.subList(8, 12)) {
            assertTrue(current.isOpen());
        }
    }

    /** The same for a connection to the former counter that had broken and was being opened anew. */
    @Test
    void connectionThatComesUpBehindItsSuccessorIsClosed() {
        SimulatedCounter s = SimulatedCounter.connected();
        s.end(s.connections.get(0));
        s.runTo(1);
        s.client.reconnectTo(SimulatedCounter.OTHER_ADDRESS);
        SimulatedCounter.Attempt former = s.attempts.remove(0);
        s.acceptAll();
        s.client.add(0, 1, 4000);
        s.attempts.add(former);
        assertFalse(s.accept().isOpen());
        assertTrue(SimulatedCounter.written(s.connections.get(4)).contains(bulk("CNT.ADD") + bulk("0")));
    }

    /** The former counter owes a reply, whose call has timed out, and never gives it. */
    @Test
    void connectionToASilentFormerCounterIsClosed() {
        SimulatedCounter s = SimulatedCounter.connected();
        s.client.add(0, 1, 4000);
        s.client.reconnectTo(SimulatedCounter.OTHER_ADDRESS);
        s.acceptAll();
        s.runTo(200);
        s.client.add(4, 1, 4000);
        assertTrue(SimulatedCounter.written(s.connections.get(4)).contains(bulk("CNT.ADD") + bulk("4")));
        assertTrue(s.connections.get(0).isOpen(), "its reply may still come");
        s.runTo(600);
        assertFalse(s.connections.get(0).isOpen());
        assertTrue(s.outcomes.contains("0 TIMEOUT 150.0 0.0"), s.outcomes.toString());
    }

    /** A configuration may name the first counter, or another one, before the node's start comes to it. */
    @Test
    void counterConfiguredBeforeTheStartIsConnectedToOnce() {
        for (InetSocketAddress first : new InetSocketAddress[] {null, SimulatedCounter.ADDRESS}) {
            SimulatedCounter s = new SimulatedCounter(first);
            s.client.reconnectTo(SimulatedCounter.OTHER_ADDRESS);
            s.client.start();
            assertEquals(4, s.attempts.size());
            assertEquals(SimulatedCounter.OTHER_ADDRESS, s.attempts.get(0).to());
            s.acceptAll();
            s.client.add(4, 1, 4000);
            assertTrue(SimulatedCounter.written(s.connections.get(0)).contains(bulk("CNT.ADD") + bulk("4")));
        }
    }
}
