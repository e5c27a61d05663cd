package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import quotagateway.client.ClientListener;
import quotagateway.client.ClientRequestHandler;
import quotagateway.client.ResponseSlot;
import quotagateway.lifecycle.CloseReason;
import quotagateway.log.NodeEvent;
import quotagateway.streaming.RequestBody;
import quotagateway.transport.Transport;

/** Calls through the edge node: order, outcomes, lists, counter, its end. */
class GatewayNodeTest extends NodeFixture {
    @Test
    void requestIsForwardedUnchangedButForTheTimeLeft() throws Exception {
        start();
        Peer.Connection client = connectClient();
        client.sendCommand("PING");
        assertEquals(List.of("+PONG"), client.readMessage());
        String body = "x".repeat(64 * 1024);
        client.sendCommand(
                "CALL.POST", CUSTOMER, "9b1f", "c=write,t=p,d=900,k=5c0f,units=2,spread=3,first=1,r=1", body);
        expectEvent("arrived 1 write p " + CUSTOMER + " 2 3 1 true");
        List<String> sent = endpointConnection.readMessage();
        assertEquals(List.of("CALL.POST", CUSTOMER, "9b1f"), sent.subList(0, 3));
        assertTrue(sent.get(3).matches("c=write,t=p,d=(8[0-9][0-9]),k=5c0f,units=2,spread=3,first=1,r=1"), sent.get(3));
        assertEquals(body, sent.get(4));
        String value = "\r\n$5".repeat(13_000);
        endpointConnection.sendValue(value);
        assertEquals(List.of(value), client.readMessage());
        expectEvent("ended 1 0 OK true");
    }

    /** Answers keep the order of the commands, whichever app server is quicker. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 900);
        assertEquals("01", endpointConnection.readMessage().get(2));
        sendGet(client, "02", "refuse", 900);
        sendGet(client, "03", "read", 900);
        Peer.Connection second = endpointPeer.awaitConnection(); // one request a connection at a time
        assertEquals("03", second.readMessage().get(2));
        second.sendValue("three");
        endpointConnection.sendValue("one");
        assertEquals(List.of("one"), client.readMessage());
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
        assertEquals(List.of("three"), client.readMessage());
    }

    @Test
    void commandsInPiecesAreAcceptedWhenWhole() throws Exception {
        start();
        Peer.Connection client = connectClient();
        String whole = "*1\r\n$4\r\nPING\r\n*4\r\n$8\r\nCALL.GET\r\n$16\r\n" + CUSTOMER
                + "\r\n$2\r\n01\r\n$19\r\nc=refuse,t=p,d=1500\r\n";
        client.socket.setTcpNoDelay(true);
        for (int i = 0; i < whole.length(); i++) {
            char c = whole.charAt(i);
            client.write(String.valueOf(c));
        }
        assertEquals(List.of("+PONG"), client.readMessage());
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
    }

    /** An app server that drops idle connections without a word: each next request was reset. */
    @Test
    void deadConnectionsAreNotUsedAgain() throws Exception {
        start();
        Peer.Connection client = connectClient();
        Peer.Connection line = endpointConnection;
        int again = 0;
        sendGet(client, "first", "read", 900);
        line.readMessage();
        line.sendValue("one");
        assertEquals(List.of("one"), client.readMessage());
        for (boolean reused = true; reused; again++) {
            sendGet(client, again + "a", "read", 900);
            try {
                line.readMessage();
                line.close();
                assertEquals(List.of("-ERR failed"), client.readMessage());
                sendGet(client, again + "b", "read", 900);
            } catch (EOFException | java.net.SocketException closed) {
                reused = false;
            }
            line = endpointPeer.awaitConnection();
            line.readMessage();
            line.sendValue("two");
            assertEquals(List.of("two"), client.readMessage());
            assertTrue(again < 60, "reused for ever");
        }
        assertTrue(again >= 5, "a few resets may be chance: " + again);
    }

    @Test
    void attemptOfADisconnectedClientTimesOutLater() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 300);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        client.close();
        expectEvent("gone 1");
        expectEvent("ended 1 0 TIMEOUT true");
        assertTrue(endpointConnection.awaitEnd());
    }

    /** The protocol's table of outcomes; a break after the last byte may have run, one before has not. */
    @Test
    void eachEndOfAnAttemptHasItsOutcome() throws Exception {
        start();
        Peer.Connection client = connectClient();
        String[][] cases = {{"-ERR failed\r\n", "ERROR"}, {"-BUSY\r\n", "FULL"}};
        int id = 0;
        for (String[] each : cases) {
            sendGet(client, "0" + ++id, "read", 900);
            expectRequest(id, "read");
            endpointConnection.readMessage();
            endpointConnection.write(each[0]);
            expectEvent("ended " + id + " 0 " + each[1] + " false");
            assertEquals(List.of("-ERR failed"), client.readMessage());
        }
        sendGet(client, "03", "read", 900);
        expectRequest(3, "read");
        endpointConnection.readMessage();
        endpointConnection.close();
        expectEvent("ended 3 0 RESET false");
        endpointPeer.close();
        sendGet(client, "04", "read", 900);
        expectRequest(4, "read");
        expectEvent("ended 4 0 NO_CONNECTION false");
    }

    /** A late answer to an attempt that was given up must not be taken for the next one's. */
    @Test
    void abandonedAttemptClosesItsConnection() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 200);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        expectEvent("ended 1 0 TIMEOUT false");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        assertTrue(endpointConnection.awaitEnd());
        sendGet(client, "02", "cancel", 900);
        expectRequest(2, "cancel");
        Peer.Connection second = endpointPeer.awaitConnection();
        second.readMessage();
        expectEvent("ended 2 0 CANCELLED false");
        assertTrue(second.awaitEnd());
    }

    /** The last word is the node's where the module has none: each request gets one answer in time. */
    @Test
    void requestThatThePolicyHoldsOrFailsOnIsAnswered() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "hold", 200);
        expectRequest(1, "hold");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        expectEvent("gone 1");
        sendGet(client, "02", "throw", 900); // an exception fails one request and nothing else
        expectRequest(2, "throw");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        expectEvent("gone 2");
        sendGet(client, "03", "fail", 900);
        assertEquals(List.of("-ERR failed"), client.readMessage());
    }

    /** The module arms one timer for all it waits for: an exception there must not be the end of its time. */
    @Test
    void timerThatFailsComesAgain() throws Exception {
        timersToFail.set(1);
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "cancel", 2500);
        expectRequest(1, "cancel");
        endpointConnection.readMessage();
        expectEvent("ended 1 0 CANCELLED false");
        assertEquals(List.of("-ERR failed"), client.readMessage());
    }

    @Test
    void idleConnectionIsRetiredBeforeTheEndpointClosesIt() throws Exception {
        keepAliveMs = 6000;
        long begun = System.nanoTime();
        start();
        assertTrue(endpointConnection.awaitEnd());
        long kept = (System.nanoTime() - begun) / 1_000_000;
        assertTrue(kept >= 2900, "a node that meets each server seldom needs it again: " + kept + " ms");
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 900);
        Peer.Connection second = endpointPeer.awaitConnection();
        second.readMessage();
        second.sendValue("v");
        assertEquals(List.of("v"), client.readMessage());
    }

    @Test
    void healthCheckReportsLoadInTheOrderOfTheSettings() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "probe", 900);
        expectRequest(1, "probe");
        assertEquals(List.of("INFO", "load"), endpointConnection.readMessage());
        endpointConnection.write("$26\r\ninflight=7,x=1,util=0.6100\r\n");
        expectEvent("probed s0 OK [0.61, 7.0]");
    }

    /** Counter calls end in time as 'may have been added', and a late answer must not shift onto the next. */
    @Test
    void lateCounterRepliesStayWithTheirCalls() throws Exception {
        start();
        Peer.Connection[] lines = new Peer.Connection[4];
        BlockingQueue<Peer.Connection> called = new LinkedBlockingQueue<>();
        for (int i = 0; i < lines.length; i++) {
            Peer.Connection line = counterPeer.awaitConnection();
            Thread reading = new Thread(() -> {
                try {
                    List<String> words = line.readMessage();
                    while (words.get(0).equals("PING")) {
                        line.write("+PONG\r\n");
                        words = line.readMessage();
                    }
                    assertEquals(List.of("CNT.ADD", "77", "-2.5", "4000"), words);
                    called.add(line);
                } catch (IOException closed) {
                    // one of those that no call came on
                }
            });
            reading.setDaemon(true);
            reading.start();
        }
        Peer.Connection client = connectClient();
        sendGet(client, "01", "count", 900);
        expectRequest(1, "count");
        expectEvent("counted 77 TIMEOUT 0.0");
        expectEvent("counted 77 TIMEOUT 0.0");
        Peer.Connection line = called.poll(10, TimeUnit.SECONDS);
        assertNotNull(line);
        assertEquals(List.of("CNT.ADD", "77", "1", "4000"), line.readMessage());
        sendGet(client, "02", "count", 900);
        expectRequest(2, "count");
        line.readMessage();
        line.readMessage();
        line.write("$2\r\n-1\r\n$2\r\n-2\r\n$3\r\n1.5\r\n-BUSY\r\n"); // two late ones, then those in time
        expectEvent("counted 77 OK 1.5");
        expectEvent("counted 77 FULL 0.0");
        sendGet(client, "03", "count", 900);
        expectRequest(3, "count");
        line.readMessage();
        line.close(); // after it was written: it may have been added
        expectEvent("counted 77 RESET 0.0");
        expectEvent("counted 77 RESET 0.0");
    }

    @Test
    void watchReportsDrainingMovedAndRemovedEndpoints() throws Exception {
        start();
        pushToWatch(list(42, false, entry("s0", endpointPeer.address(), "leaving")));
        expectEvent("changes s0 DRAINING");
        assertTrue(endpointConnection.awaitEnd()); // idle connections go with it
        try (Peer moved = new Peer()) {
            pushToWatch(list(43, false, entry("s0", moved.address(), "active")));
            expectEvent("changes s0 UP");
            Peer.Connection client = connectClient();
            sendGet(client, "01", "read", 900);
            expectRequest(1, "read");
            Peer.Connection line = moved.awaitConnection();
            assertEquals("01", line.readMessage().get(2));
            line.sendValue("v");
            expectEvent("ended 1 0 OK true");
            pushToWatch(list(44, false, entry("s0", moved.address(), "left")));
            expectEvent("changes s0 REMOVED");
            sendGet(client, "02", "read", 900);
            expectRequest(2, "read");
            expectEvent("ended 2 0 NO_CONNECTION false");
            pushToWatch(list(45, true, entry("s1", endpointPeer.address(), "active")));
            expectEvent("whole s1 UP");
        }
    }

    /** A watch to a machine that vanished is silent for ever: it is dead once its 2 s lines stop. */
    @Test
    void silentWatchIsRenewedFromItsVersion() throws Exception {
        start();
        assertTrue(watchConnection.awaitEnd());
        Peer.Connection next = discoveryPeer.awaitConnection();
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", next.readLine());
    }

    /** At SIGTERM connections still come for a while; what is taken is answered, and then it ends. */
    @Test
    void nodeAnswersOpenRequestsBeforeItEnds() throws Exception {
        start();
        Peer.Connection idle = connectClient();
        idle.sendCommand("PING");
        idle.readMessage();
        Peer.Connection busy = connectClient();
        sendGet(busy, "01", "read", 2500);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        drained = true;
        Thread draining = new Thread(node::drain);
        draining.start();
        Peer.Connection late = connectClient();
        sendGet(late, "02", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), late.readMessage());
        assertTrue(idle.awaitEnd());
        assertTrue(late.awaitEnd());
        idle.close();
        late.close();
        endpointConnection.sendValue("v");
        assertEquals(List.of("v"), busy.readMessage());
        assertTrue(busy.awaitEnd());
        busy.close();
        draining.join();
        assertThrows(ConnectException.class, this::connectClient);
    }

    /** Stands behind a listener whose clients send no requests. */
    private static final class PingOnly implements ClientRequestHandler {
        @Override
        public String acceptCommand(ResponseSlot slot, ArrayRedisMessage command, RequestBody body) {
            throw new IllegalStateException("no request is expected");
        }

        @Override
        public boolean isMemoryExhausted() {
            return false;
        }

        @Override
        public boolean mayListen() {
            return true;
        }

        @Override
        public boolean mayClose(CloseReason reason, int openRequests) {
            return true;
        }

        @Override
        public void onClientConnectionClosed(NodeEvent.ClientConnectionClosed closed) {}
    }

    /**
     * A client may come before bind has returned to its caller: the first was then dropped, as the listener
     * was not known yet. Here bind never returns, as its caller is interrupted.
     */
    @Test
    void clientThatComesBeforeBindReturnsIsServed() throws Exception {
        start();
        InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        EventLoopGroup group = Transport.newEventLoop();
        try {
            Thread.currentThread().interrupt();
            assertThrows(
                    InterruptedException.class,
                    () -> new ClientListener(node.eventLoop(), new PingOnly(), 8).bind(group, address));
            group.submit(() -> {}).sync(); // the bind that was left to the loop is done
            group.submit(() -> {}).sync();
            try (Peer.Connection line = Peer.Connection.connect(address.getPort())) {
                line.sendCommand("PING");
                assertEquals(List.of("+PONG"), line.readMessage());
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** What a slow reader has still to get is not cut off when the node ends its connection. */
    @Test
    void longResponseIsWholeForASlowReaderInAShutdown() throws Exception {
        maxSockets = 1024;
        start();
        Peer.Connection client = connectClient();
        String value = "v".repeat(64 * 1024);
        int calls = 140; // more than the sockets' buffers hold
        List<Peer.Connection> lines = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            sendGet(client, "0" + i, "read", 20_000);
            lines.add(i == 0 ? endpointConnection : endpointPeer.awaitConnection());
            lines.get(i).readMessage();
        }
        for (Peer.Connection line : lines) {
            line.sendValue(value);
        }
        drained = true;
        Thread draining = new Thread(node::drain);
        draining.start();
        assertThrows(
                SocketException.class,
                () -> { // refused, or reset where the end crosses a connect
                    while (draining.isAlive()) {
                        connectClient()
                                .close(); // until it listens no more: by then the connections have been ended too
                    }
                });
        assertThrows(ConnectException.class, this::connectClient);
        for (int i = 0; i < calls; i++) {
            assertEquals(List.of(value), client.readMessage());
        }
        assertTrue(client.awaitEnd());
        client.close();
        draining.join();
    }
}
