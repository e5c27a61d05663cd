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
        tellSilence = false; // of the watch, whenever that falls
        start();
    }

    @AfterEach
    void transport() {
        Transport.useEpoll(Epoll.isAvailable());
    }

    @Override
    String config() {
        return super.config().replace("\"connect_timeout\":250", "\"connect_timeout\":60000");
    }

    private void goneAll(int first, int last) throws InterruptedException {
        Set<String> left = new HashSet<>();
        for (int i = first; i <= last; i++) {
            left.add("gone " + i);
        }
        while (!left.isEmpty()) {
            String what = told.poll(10, TimeUnit.SECONDS);
            assertTrue(left.remove(what), what + " with " + left.size() + " to go");
        }
    }

    private Peer.Line full() throws Exception {
        Peer.Line client = client();
        for (int i = 1; i <= PIPELINED; i++) {
            get(client, Integer.toHexString(i), "hold", LONG);
            arrived(i, "hold");
        }
        return client;
    }

    /** Under NIO the end was seen when reading went on, which was at the deadlines. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileMoreIsUnansweredThanIsTaken(boolean epoll) throws Exception {
        start(epoll);
        Peer.Line client = full();
        client.command("PING");
        client.close();
        goneAll(1, PIPELINED);
        Peer.Line other = client();
        get(other, "ff01", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), other.message());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileMoreIsUnreadThanIsKept(boolean epoll) throws Exception {
        start(epoll);
        Peer.Line client = full();
        client.write("*1\r\n$4\r\nPING\r\n".repeat(11_000)); // 150 KB
        client.close();
        goneAll(1, PIPELINED);
    }

    /** What is held back is taken in its order, and all of it, once there is room. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aClientThatStaysLosesNothing(boolean epoll) throws Exception {
        start(epoll);
        Peer.Line client = client();
        for (int i = 1; i <= PIPELINED; i++) {
            get(client, Integer.toHexString(i), "hold", 600);
        }
        for (int i = 1; i <= 2000; i++) {
            get(client, "r" + i, "refuse", 900);
        }
        for (int i = 1; i <= PIPELINED; i++) {
            assertEquals(List.of("-ERR failed"), client.message());
        }
        for (int i = 1; i <= 2000; i++) {
            assertEquals(List.of("-BUSY 1500"), client.message(), "command " + i);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileAllClientsAreHeldForMemory(boolean epoll) throws Exception {
        start(epoll);
        Peer.Line big = client();
        String body = "x".repeat(64 * 1024);
        int bodies = 128; // 64 KB and a head each: over 8 MB
        for (int i = 1; i <= bodies; i++) {
            big.command("CALL.POST", CUSTOMER, "b" + i, "c=hold,t=p,d=" + LONG + ",units=2,spread=3,first=1", body);
            arrived(i, "hold");
        }
        Peer.Line client = client();
        get(client, "01", "hold", LONG);
        arrived(bodies + 1, "hold");
        get(client, "02", "hold", LONG);
        client.socket.shutdownOutput(); // half a close is one too
        expect("gone " + (bodies + 1));
        assertTrue(client.ended());
        big.socket.setSoLinger(true, 0); // a reset
        big.close();
        goneAll(1, bodies);
    }

    /** An attempt stayed in line for a connection that does not come up, to its time-out. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whileItsConnectionDoesNotComeUp(boolean epoll) throws Exception {
        start(epoll);
        try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 2; i++) { // its queue is full: no connection comes up from here on
                open.add(new Socket(deaf.getInetAddress(), deaf.getLocalPort()));
            }
            push(list(42, false, entry("s0", "127.0.0.1:" + deaf.getLocalPort(), "active")));
            expect("changes s0 UP");
            Peer.Line client = client();
            get(client, "01", "read", LONG);
            arrived(1, "read");
            client.close();
            expect("gone 1");
            expect("ended 1 0 NOT_SENT true");
        }
    }

    /** Of ends that come together the first gave its turn to a client whose own was not told yet. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void inABurst(boolean epoll) throws Exception {
        start(epoll);
        sendAfter = 1;
        Peer.Line first = client();
        get(first, "01", "hold", LONG);
        arrived(1, "hold");
        Peer.Line second = client();
        get(second, "02", "hold", LONG);
        arrived(2, "hold");
        Peer.Line busy = client();
        get(busy, "03", "stall", LONG);
        arrived(3, "stall");
        first.close();
        second.close();
        stall.release();
        expect("gone 1");
        Set<String> rest = new HashSet<>(Set.of("gone 2", "ended 2 0 NOT_SENT true"));
        for (int i = 0; i < 2; i++) {
            String what = told.poll(10, TimeUnit.SECONDS);
            assertTrue(rest.remove(what), what);
        }
    }

    /** Accepted late, read late: a command that comes with its client's end was sent on. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void beforeItsCommandWasRead(boolean epoll) throws Exception {
        start(epoll);
        Peer.Line busy = client();
        get(busy, "01", "stall", LONG);
        arrived(1, "stall");
        Peer.Line client = client();
        get(client, "02", "hold", LONG);
        client.close();
        stall.release();
        Peer.Line next = client();
        for (int i = 0; i < 2; i++) { // the second is read after all that came before the first
            next.command("PING");
            assertEquals(List.of("+PONG"), next.message());
        }
        assertNull(told.poll());
    }
}
