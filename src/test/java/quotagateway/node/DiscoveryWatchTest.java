package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Watches that break off or stall: the change that they did not bring may be a drain, whose grace is 250 ms. */
class DiscoveryWatchTest extends NodeFixture {
    /** Half a line and no end of the connection: it counts as dead soon, not only when the whole watch is silent. */
    @Test
    void watchWithHalfALineThatStallsIsRenewed() throws Exception {
        start();
        String connection = list(42, false, entry("s0", endpointPeer.address(), "leaving"));
        watchConnection.write(Integer.toHexString(connection.length() + 1) + "\r\n"
                + connection.substring(0, connection.length() / 2));
        Peer.Connection next = discoveryPeer.pollConnection(1500);
        assertNotNull(next, "a new watch long before silence is told from its death");
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", next.readLine());
        assertTrue(watchConnection.awaitEnd());
    }

    /** Nodes that restart together must not wait for one another's turn at an overloaded discovery. */
    @Test
    void nodeWithACachedListListensBeforeDiscoveryAnswers() throws Exception {
        node = newNode(configJson());
        long startedNanos = System.nanoTime();
        node.start(); // discovery does not answer
        long tookMs = (System.nanoTime() - startedNanos) / 1_000_000;
        assertTrue(tookMs < 3500, "took " + tookMs + " ms; 4 s is the most that is waited for parts not ready");
        endpointConnection = endpointPeer.awaitConnection();
        expectEvent("whole s0 UP");
        try (Peer.Connection client = connectClient()) {
            sendGet(client, "01", "read", 900);
            String event = policyEvents.poll(10, TimeUnit.SECONDS);
            while ("discovery failed".equals(event)) { // it is called again and again meanwhile
                event = policyEvents.poll(10, TimeUnit.SECONDS);
            }
            assertEquals("arrived 1 read p " + CUSTOMER + " 2 3 1 false", event);
            endpointConnection.readMessage();
            endpointConnection.sendValue("v");
            assertEquals(List.of("v"), client.readMessage());
        }
    }

    /** From its first moment a node has to know what discovery has: it waits for one silent call and repeats it. */
    @Test
    void nodeWhoseFirstCallIsSilentAsksAgainBeforeItListens() throws Exception {
        node = newNode(configJson());
        Thread starting = new Thread(() -> {
            try {
                node.start();
            } catch (java.io.IOException e) {
                policyEvents.add("start: " + e);
            }
        });
        starting.start();
        Peer.Connection quiet = discoveryPeer.awaitConnection();
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", quiet.readLine());
        watchConnection = discoveryPeer.awaitConnection();
        assertEquals(null, node.listenAddress(), "it listens by the list known from before");
        watchConnection.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        pushToWatch(list(42, false, entry("s0", endpointPeer.address(), "leaving")));
        expectEvent("whole s0 UP");
        expectEvent("discovery failed");
        expectEvent("changes s0 DRAINING");
        starting.join();
        assertNotNull(node.listenAddress());
    }

    /** Behind a watch that worked the next one follows at once, without backoff. */
    @Test
    void watchThatBreaksOffIsRenewedAtOnce() throws Exception {
        start();
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 3; i++) { // the shortest of three: a busy machine only adds
            long ended = System.nanoTime();
            watchConnection.close();
            answerWatch();
            least = Math.min(least, (System.nanoTime() - ended) / 1_000_000);
            expectEvent("discovery failed");
            pushToWatch(list(42 + i, false, entry("s0", endpointPeer.address(), "active")));
            expectEvent("changes s0 UP"); // it worked: the backoff starts from the beginning
            pushToWatch(list(41, false));
            expectEvent("changes");
        }
        assertTrue(least < 190, "took " + least + " ms; 200 and more before");
    }

    /** The backoff stays short: a node that stays away for 2 s learns of a drain too late. */
    @Test
    void discoveryThatEndsEachWatchIsAskedAgainSoon() throws Exception {
        start();
        watchConnection.close();
        for (int i = 0; i < 10; i++) {
            Peer.Connection again = discoveryPeer.pollConnection(1000);
            assertNotNull(again, "after " + i);
            again.close();
        }
    }

    /** A list need not be one line: an indented one is read to its end. */
    @Test
    void indentedListIsOneList() throws Exception {
        start();
        pushToWatch("{\n  \"seq\": 42,\n  \"whole\": false,\n  \"hosts\": [\n    "
                + entry("s0", endpointPeer.address(), "leaving").replace(",", ",\n      ") + "\n  ]\n}");
        pushToWatch("");
        expectEvent("changes s0 DRAINING");
        watchConnection.close();
        expectEvent("discovery failed");
        watchConnection = discoveryPeer.awaitConnection();
        assertEquals("GET /catalog/members?follow=1&since=42 HTTP/1.1", watchConnection.readLine());
    }

    /** Discovery refuses a version that it has forgotten: asking for changes since then again would never end. */
    @Test
    void refusedVersionIsFollowedByACallForTheCompleteList() throws Exception {
        start();
        watchConnection.close();
        expectEvent("discovery failed");
        watchConnection = discoveryPeer.awaitConnection();
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", watchConnection.readLine());
        watchConnection.write("HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n");
        expectEvent("discovery failed");
        watchConnection = discoveryPeer.awaitConnection();
        assertEquals("GET /catalog/members HTTP/1.1", watchConnection.readLine());
    }

    /** A call that is accepted and never answered is repeated before the change counts as known. */
    @Test
    void unansweredCallForTheListIsRepeated() throws Exception {
        start();
        watchConnection.close();
        expectEvent("discovery failed");
        watchConnection = discoveryPeer.awaitConnection();
        watchConnection.write("HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n");
        expectEvent("discovery failed");
        Peer.Connection silent = discoveryPeer.awaitConnection();
        assertEquals("GET /catalog/members HTTP/1.1", silent.readLine());
        watchConnection = discoveryPeer.pollConnection(3000);
        assertNotNull(watchConnection, "asked anew before what it had to tell counts as told");
        assertEquals("GET /catalog/members HTTP/1.1", watchConnection.readLine());
        silent.input.readAllBytes(); // returns when the node closes it
        String list = list(43, true, entry("s0", endpointPeer.address(), "leaving"));
        watchConnection.write("HTTP/1.1 200 OK\r\ncontent-length: " + list.length() + "\r\n\r\n" + list);
        expectEvent("discovery failed");
        expectEvent("whole s0 DRAINING");
    }
}
