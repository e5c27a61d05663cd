package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Watches that break off or stall: the undelivered change may be a drain, whose grace period is 250 ms. */
class DiscoveryWatchTest extends NodeFixture {
    /** A watch that stalls within a line counts as dead sooner than a watch that is silent between lines. */
    @Test
    void watchThatStallsWithinALineIsRenewed() throws Exception {
        start();
        String line = list(42, false, entry("s0", endpointPeer.address(), "leaving"));
        watchConnection.write(Integer.toHexString(line.length() + 1) + "\r\n" + line.substring(0, line.length() / 2));
        Peer.Connection nextWatchConnection = discoveryPeer.pollConnection(1500);
        assertNotNull(nextWatchConnection, "no new watch well before the timeout of a silent watch");
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", nextWatchConnection.readLine());
        assertTrue(watchConnection.awaitEnd());
    }

    /** Nodes that restart together must not wait until an overloaded discovery has served the other nodes. */
    @Test
    void nodeWithACachedListListensBeforeDiscoveryAnswers() throws Exception {
        node = newNode(configJson());
        long startedNanos = System.nanoTime();
        node.start(); // discovery does not answer
        long tookMs = (System.nanoTime() - startedNanos) / 1_000_000;
        assertTrue(tookMs < 3500, "took " + tookMs + " ms; the wait for components is limited to 4 s");
        endpointConnection = endpointPeer.awaitConnection();
        expectEvent("whole s0 UP");
        try (Peer.Connection client = connectClient()) {
            sendGet(client, "01", "read", 900);
            String event = policyEvents.poll(10, TimeUnit.SECONDS);
            while ("discovery failed".equals(event)) { // the node repeats the call meanwhile
                event = policyEvents.poll(10, TimeUnit.SECONDS);
            }
            assertEquals("arrived 1 read p " + CUSTOMER + " 2 3 1 false", event);
            endpointConnection.readMessage();
            endpointConnection.sendValue("v");
            assertEquals(List.of("v"), client.readMessage());
        }
    }

    /** A node needs the current list when it starts to serve: it waits for one unanswered call and repeats it. */
    @Test
    void unansweredFirstCallIsRepeatedBeforeTheNodeListens() throws Exception {
        node = newNode(configJson());
        Thread starting = new Thread(() -> {
            try {
                node.start();
            } catch (java.io.IOException e) {
                policyEvents.add("start: " + e);
            }
        });
        starting.start();
        Peer.Connection unansweredCall = discoveryPeer.awaitConnection();
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", unansweredCall.readLine());
        watchConnection = discoveryPeer.awaitConnection();
        assertEquals(null, node.listenAddress(), "the node listens with the cached list before discovery has answered");
        watchConnection.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        pushToWatch(list(42, false, entry("s0", endpointPeer.address(), "leaving")));
        expectEvent("whole s0 UP");
        expectEvent("discovery failed");
        expectEvent("changes s0 DRAINING");
        starting.join();
        assertNotNull(node.listenAddress());
    }

    /** After a watch that worked, the next watch starts immediately, without backoff. */
    @Test
    void brokenWatchIsRenewedImmediately() throws Exception {
        start();
        long shortestMs = Long.MAX_VALUE;
        for (int i = 0; i < 3; i++) { // the shortest of three: load on the machine only adds time
            long closedNanos = System.nanoTime();
            watchConnection.close();
            answerWatch();
            shortestMs = Math.min(shortestMs, (System.nanoTime() - closedNanos) / 1_000_000);
            expectEvent("discovery failed");
            pushToWatch(list(42 + i, false, entry("s0", endpointPeer.address(), "active")));
            expectEvent("changes s0 UP"); // the watch worked: the backoff is reset
            pushToWatch(list(41, false));
            expectEvent("changes");
        }
        assertTrue(shortestMs < 190, "took " + shortestMs + " ms; with a backoff it takes at least 200 ms");
    }

    /** The backoff stays short: a node without a watch for 2 s learns of a drain too late. */
    @Test
    void discoveryThatClosesEachWatchIsCalledAgainSoon() throws Exception {
        start();
        watchConnection.close();
        for (int i = 0; i < 10; i++) {
            Peer.Connection nextWatch = discoveryPeer.pollConnection(1000);
            assertNotNull(nextWatch, "no new watch after watch " + i);
            nextWatch.close();
        }
    }

    /** A list may span several lines: an indented list is read completely. */
    @Test
    void indentedListIsReadAsOneList() throws Exception {
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

    /** Discovery refuses a version that it no longer has: requesting changes since that version would fail forever. */
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

    /** A call that is accepted and never answered is repeated before a pending change has to be known. */
    @Test
    void unansweredCallForTheListIsRepeated() throws Exception {
        start();
        watchConnection.close();
        expectEvent("discovery failed");
        watchConnection = discoveryPeer.awaitConnection();
        watchConnection.write("HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n");
        expectEvent("discovery failed");
        Peer.Connection unansweredListCall = discoveryPeer.awaitConnection();
        assertEquals("GET /catalog/members HTTP/1.1", unansweredListCall.readLine());
        watchConnection = discoveryPeer.pollConnection(3000);
        assertNotNull(watchConnection, "the call for the list is not repeated within 3 s");
        assertEquals("GET /catalog/members HTTP/1.1", watchConnection.readLine());
        unansweredListCall.input.readAllBytes(); // returns when the node closes it
        String list = list(43, true, entry("s0", endpointPeer.address(), "leaving"));
        watchConnection.write("HTTP/1.1 200 OK\r\ncontent-length: " + list.length() + "\r\n\r\n" + list);
        expectEvent("discovery failed");
        expectEvent("whole s0 DRAINING");
    }
}
