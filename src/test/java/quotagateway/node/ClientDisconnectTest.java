package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.channel.epoll.Epoll;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.transport.Transport;

/** Nothing begins for a client that has gone: under both transports, as one tells an end and one does not. */
class ClientDisconnectTest extends NodeFixture {
    private static final int PIPELINED = 256;
    /** No deadline ends what these tests wait for. */
    private static final int LONG = 60_000;

    private void start(boolean epoll) throws Exception {
        assumeTrue(!epoll || Epoll.isAvailable());
        Transport.useEpoll(epoll);
        recordDiscoveryFailures = false; // of the watch, whenever that falls
        start();
    }

    @AfterEach
    void transport() {
        Transport.useEpoll(Epoll.isAvailable());
    }

    @Override
    String configJson() {
        return super.configJson().replace("\"connect_timeout\":250", "\"connect_timeout\":60000");
    }

    private void goneAll(int first, int last) throws InterruptedException {
        Set<String> left = new HashSet<>();
        for (int i = first; i <= last; i++) {
            left.add("gone " + i);
        }
        while (!left.isEmpty()) {
            String what = policyEvents.poll(10, TimeUnit.SECONDS);
            assertTrue(left.remove(what), what + " with " + left.size() + " to go");
        }
    }

    private Peer.Connection full() throws Exception {
        Peer.Connection client = connectClient();
        for (int i = 1; i <= PIPELINED; i++) {
            sendGet(client, Integer.toHexString(i), "hold", LONG);
            expectRequest(i, "hold");
        }
        return client;
    }

    /** Under NIO the end was seen when reading went on, which was at the deadlines. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectIsSeenWhileTooMuchIsUnansweredToReadOn(boolean epoll) throws Exception {
        start(epoll);
        Peer.Connection client = full();
        client.sendCommand("PING");
        client.close();
        goneAll(1, PIPELINED);
        Peer.Connection other = connectClient();
        sendGet(other, "ff01", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), other.readMessage());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectIsSeenWhileMoreIsUnreadThanIsReadAhead(boolean epoll) throws Exception {
        start(epoll);
        Peer.Connection client = full();
        client.write("*1\r\n$4\r\nPING\r\n".repeat(11_000)); // 150 KB
        client.close();
        goneAll(1, PIPELINED);
    }

    /** What is held back is taken in its order, and all of it, once there is room. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void clientThatStaysLosesNothing(boolean epoll) throws Exception {
        start(epoll);
        Peer.Connection client = connectClient();
        for (int i = 1; i <= PIPELINED; i++) {
            sendGet(client, Integer.toHexString(i), "hold", 600);
        }
        for (int i = 1; i <= 2000; i++) {
            sendGet(client, "r" + i, "refuse", 900);
        }
        for (int i = 1; i <= PIPELINED; i++) {
            assertEquals(List.of("-ERR failed"), client.readMessage());
        }
        for (int i = 1; i <= 2000; i++) {
            assertEquals(List.of("-BUSY 1500"), client.readMessage(), "command " + i);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectIsSeenWhileClientsAreNotReadForMemory(boolean epoll) throws Exception {
        start(epoll);
        Peer.Connection big = connectClient();
        String body = "x".repeat(64 * 1024);
        int bodies = 128; // 64 KB and a head each: over 8 MB
        for (int i = 1; i <= bodies; i++) {
            big.sendCommand("CALL.POST", CUSTOMER, "b" + i, "c=hold,t=p,d=" + LONG + ",units=2,spread=3,first=1", body);
            expectRequest(i, "hold");
        }
        Peer.Connection client = connectClient();
        sendGet(client, "01", "hold", LONG);
        expectRequest(bodies + 1, "hold");
        sendGet(client, "02", "hold", LONG);
        client.socket.shutdownOutput(); // half a close is one too
        expectEvent("gone " + (bodies + 1));
        assertTrue(client.awaitEnd());
        big.socket.setSoLinger(true, 0); // a reset
        big.close();
        goneAll(1, bodies);
    }

    /** An attempt stayed in line for a connection that does not come up, to its time-out. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void attemptThatWaitsForItsConnectionIsNotSentBehindADisconnect(boolean epoll) throws Exception {
        start(epoll);
        try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 2; i++) { // its queue is full: no connection comes up from here on
                closeables.add(new Socket(deaf.getInetAddress(), deaf.getLocalPort()));
            }
            pushToWatch(list(42, false, entry("s0", "127.0.0.1:" + deaf.getLocalPort(), "active")));
            expectEvent("changes s0 UP");
            Peer.Connection client = connectClient();
            sendGet(client, "01", "read", LONG);
            expectRequest(1, "read");
            client.close();
            expectEvent("gone 1");
            expectEvent("ended 1 0 NOT_SENT true");
        }
    }

    /** Of ends that come together the first gave its turn to a client whose own was not told yet. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectsThatComeTogetherAreAllSeenBeforeAnythingIsSent(boolean epoll) throws Exception {
        start(epoll);
        sendNextAfterDisconnectOf = 1;
        Peer.Connection first = connectClient();
        sendGet(first, "01", "hold", LONG);
        expectRequest(1, "hold");
        Peer.Connection second = connectClient();
        sendGet(second, "02", "hold", LONG);
        expectRequest(2, "hold");
        Peer.Connection busy = connectClient();
        sendGet(busy, "03", "stall", LONG);
        expectRequest(3, "stall");
        first.close();
        second.close();
        stallPermits.release();
        expectEvent("gone 1");
        Set<String> rest = new HashSet<>(Set.of("gone 2", "ended 2 0 NOT_SENT true"));
        for (int i = 0; i < 2; i++) {
            String what = policyEvents.poll(10, TimeUnit.SECONDS);
            assertTrue(rest.remove(what), what);
        }
    }

    /** Accepted late, read late: a command that comes with its client's end was sent on. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void commandOfADisconnectedClientIsNotForwarded(boolean epoll) throws Exception {
        start(epoll);
        Peer.Connection busy = connectClient();
        sendGet(busy, "01", "stall", LONG);
        expectRequest(1, "stall");
        Peer.Connection client = connectClient();
        sendGet(client, "02", "hold", LONG);
        client.close();
        stallPermits.release();
        Peer.Connection next = connectClient();
        for (int i = 0; i < 2; i++) { // the second is read after all that came before the first
            next.sendCommand("PING");
            assertEquals(List.of("+PONG"), next.readMessage());
        }
        assertNull(policyEvents.poll());
    }
}
