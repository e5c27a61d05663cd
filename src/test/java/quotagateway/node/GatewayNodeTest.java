package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Requests through a node: order and outcomes, endpoint lists, and the counter. */
class GatewayNodeTest extends NodeFixture {
    private static final int COUNTER_CONNECTIONS = 4;

    @Test
    void requestIsForwardedUnchangedExceptForItsTimeout() throws Exception {
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

    /** Responses keep the order of the commands, regardless of which endpoint responds first. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 900);
        assertEquals("01", endpointConnection.readMessage().get(2));
        sendGet(client, "02", "refuse", 900);
        sendGet(client, "03", "read", 900);
        Peer.Connection second = endpointPeer.awaitConnection(); // a connection carries one request at a time
        assertEquals("03", second.readMessage().get(2));
        second.sendValue("three");
        endpointConnection.sendValue("one");
        assertEquals(List.of("one"), client.readMessage());
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
        assertEquals(List.of("three"), client.readMessage());
    }

    @Test
    void fragmentedCommandsAreAcceptedOnceComplete() throws Exception {
        start();
        Peer.Connection client = connectClient();
        String commands = "*1\r\n$4\r\nPING\r\n*4\r\n$8\r\nCALL.GET\r\n$16\r\n" + CUSTOMER
                + "\r\n$2\r\n01\r\n$19\r\nc=refuse,t=p,d=1500\r\n";
        client.socket.setTcpNoDelay(true);
        for (int i = 0; i < commands.length(); i++) {
            char c = commands.charAt(i);
            client.write(String.valueOf(c));
        }
        assertEquals(List.of("+PONG"), client.readMessage());
        assertEquals(List.of("-BUSY 1500"), client.readMessage());
    }

    /** An endpoint may close idle connections early: no request may be sent on a connection that is about to close. */
    @Test
    void connectionsThatTheEndpointClosesAreNotReused() throws Exception {
        start();
        Peer.Connection client = connectClient();
        Peer.Connection connection = endpointConnection;
        int resets = 0;
        sendGet(client, "first", "read", 900);
        connection.readMessage();
        connection.sendValue("one");
        assertEquals(List.of("one"), client.readMessage());
        for (boolean reused = true; reused; resets++) {
            sendGet(client, resets + "a", "read", 900);
            try {
                connection.readMessage();
                connection.close();
                assertEquals(List.of("-ERR failed"), client.readMessage());
                sendGet(client, resets + "b", "read", 900);
            } catch (EOFException | java.net.SocketException closed) {
                reused = false;
            }
            connection = endpointPeer.awaitConnection();
            connection.readMessage();
            connection.sendValue("two");
            assertEquals(List.of("two"), client.readMessage());
            assertTrue(resets < 60, "the node still reuses connections that the endpoint closes");
        }
        assertTrue(resets >= 5, "reuse stopped after too few resets, which may be chance: " + resets);
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

    /** A request may have been executed if the connection ends after its last byte, and not if it ends before. */
    @Test
    void eachEndOfAnAttemptHasItsOutcome() throws Exception {
        start();
        Peer.Connection client = connectClient();
        String[][] cases = {{"-ERR failed\r\n", "ERROR"}, {"-BUSY\r\n", "FULL"}};
        int id = 0;
        for (String[] testCase : cases) {
            sendGet(client, "0" + ++id, "read", 900);
            expectRequest(id, "read");
            endpointConnection.readMessage();
            endpointConnection.write(testCase[0]);
            expectEvent("ended " + id + " 0 " + testCase[1] + " false");
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

    /** A late response to an abandoned attempt must not be taken for the response to the next attempt. */
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

    /** If the policy does not decide, the node does: each request gets one response before its deadline. */
    @Test
    void requestThatThePolicyHoldsOrFailsOnIsAnswered() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "hold", 200);
        expectRequest(1, "hold");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        expectEvent("gone 1");
        sendGet(client, "02", "throw", 900); // an exception in the policy fails one request and nothing else
        expectRequest(2, "throw");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        expectEvent("gone 2");
        sendGet(client, "03", "fail", 900);
        assertEquals(List.of("-ERR failed"), client.readMessage());
    }

    /** The policy has a single timer for all its waits: an exception must not cancel it. */
    @Test
    void failedTimerFiresAgain() throws Exception {
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
        long startedNanos = System.nanoTime();
        start();
        assertTrue(endpointConnection.awaitEnd());
        long keptMs = (System.nanoTime() - startedNanos) / 1_000_000;
        assertTrue(keptMs >= 2900, "retired too early, as a node seldom uses each endpoint: " + keptMs + " ms");
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

    /** Returns a queue that receives the counter connection on which the first call arrives. */
    private BlockingQueue<Peer.Connection> listenForFirstCall() throws Exception {
        BlockingQueue<Peer.Connection> calledConnections = new LinkedBlockingQueue<>();
        for (int i = 0; i < COUNTER_CONNECTIONS; i++) {
            Peer.Connection connection = counterPeer.awaitConnection();
            Thread reading = new Thread(() -> {
                try {
                    List<String> words = connection.readMessage();
                    while (words.get(0).equals("PING")) {
                        connection.write("+PONG\r\n");
                        words = connection.readMessage();
                    }
                    assertEquals(List.of("CNT.ADD", "77", "-2.5", "4000"), words);
                    calledConnections.add(connection);
                } catch (IOException closed) {
                    // the call arrived on another connection
                }
            });
            reading.setDaemon(true);
            reading.start();
        }
        return calledConnections;
    }

    /** A timed-out counter call may have been executed; its late reply must not be taken for that of the next call. */
    @Test
    void lateCounterRepliesAreMatchedToTheirCalls() throws Exception {
        start();
        BlockingQueue<Peer.Connection> calledConnections = listenForFirstCall();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "count", 900);
        expectRequest(1, "count");
        expectEvent("counted 77 TIMEOUT 0.0");
        expectEvent("counted 77 TIMEOUT 0.0");
        Peer.Connection connection = calledConnections.poll(10, TimeUnit.SECONDS);
        assertNotNull(connection);
        assertEquals(List.of("CNT.ADD", "77", "1", "4000"), connection.readMessage());
        sendGet(client, "02", "count", 900);
        expectRequest(2, "count");
        connection.readMessage();
        connection.readMessage();
        connection.write("$2\r\n-1\r\n$2\r\n-2\r\n$3\r\n1.5\r\n-BUSY\r\n"); // two late replies, then two in time
        expectEvent("counted 77 OK 1.5");
        expectEvent("counted 77 FULL 0.0");
        sendGet(client, "03", "count", 900);
        expectRequest(3, "count");
        connection.readMessage();
        connection.close(); // after the call: it may have been executed
        expectEvent("counted 77 RESET 0.0");
        expectEvent("counted 77 RESET 0.0");
    }

    @Test
    void watchReportsDrainingMovedAndRemovedEndpoints() throws Exception {
        start();
        pushToWatch(list(42, false, entry("s0", endpointPeer.address(), "leaving")));
        expectEvent("changes s0 DRAINING");
        assertTrue(endpointConnection.awaitEnd()); // idle connections are closed too
        try (Peer newAddressPeer = new Peer()) {
            pushToWatch(list(43, false, entry("s0", newAddressPeer.address(), "active")));
            expectEvent("changes s0 UP");
            Peer.Connection client = connectClient();
            sendGet(client, "01", "read", 900);
            expectRequest(1, "read");
            Peer.Connection connection = newAddressPeer.awaitConnection();
            assertEquals("01", connection.readMessage().get(2));
            connection.sendValue("v");
            expectEvent("ended 1 0 OK true");
            pushToWatch(list(44, false, entry("s0", newAddressPeer.address(), "left")));
            expectEvent("changes s0 REMOVED");
            sendGet(client, "02", "read", 900);
            expectRequest(2, "read");
            expectEvent("ended 2 0 NO_CONNECTION false");
            pushToWatch(list(45, true, entry("s1", endpointPeer.address(), "active")));
            expectEvent("whole s1 UP");
        }
    }

    /** A watch sends a line every 2 s: a watch without lines is dead, for example because the agent's host failed. */
    @Test
    void silentWatchIsRenewedFromItsVersion() throws Exception {
        start();
        assertTrue(watchConnection.awaitEnd());
        Peer.Connection next = discoveryPeer.awaitConnection();
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", next.readLine());
    }
}
