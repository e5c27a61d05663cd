package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A watch that breaks off or stalls: what it had to tell may be a drain, and that has 250 ms. */
class DiscoveryWatchTest extends NodeFixture {
    /** Half a line, and no end of the connection either: 5 s passed before it was taken for dead. */
    @Test
    void watchWithHalfALineThatStallsIsRenewed() throws Exception {
        start();
        String line = list(42, false, entry("s0", endpointPeer.address(), "leaving"));
        watchConnection.write(Integer.toHexString(line.length() + 1) + "\r\n" + line.substring(0, line.length() / 2));
        Peer.Connection next = discoveryPeer.pollConnection(1500);
        assertNotNull(next, "a new watch long before silence is told from its death");
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", next.readLine());
        assertTrue(watchConnection.awaitEnd());
    }

    /** Ten nodes killed together came up one by one, as an overbooked discovery had told each its list. */
    @Test
    void nodeWithACachedListListensBeforeDiscoveryAnswers() throws Exception {
        node = newNode(configJson());
        long begun = System.nanoTime();
        node.start(); // nobody answers at discovery's address
        long took = (System.nanoTime() - begun) / 1_000_000;
        assertTrue(took < 3500, "took " + took + " ms; 4 s is the most that is waited for parts not ready");
        endpointConnection = endpointPeer.awaitConnection();
        expectEvent("whole s0 UP");
        try (Peer.Connection client = connectClient()) {
            sendGet(client, "01", "read", 900);
            String what = policyEvents.poll(10, TimeUnit.SECONDS);
            while ("discovery failed".equals(what)) { // it is asked again and again meanwhile
                what = policyEvents.poll(10, TimeUnit.SECONDS);
            }
            assertEquals("arrived 1 read p " + CUSTOMER + " 2 3 1 false", what);
            endpointConnection.readMessage();
            endpointConnection.sendValue("v");
            assertEquals(List.of("v"), client.readMessage());
        }
    }

    /** What the agent has counts as told from the first moment: one quiet call at the start is waited out. */
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

    /** After a watch that worked the next comes at once, not after the wait for one that cannot be had. */
    @Test
    void watchThatBreaksOffIsRenewedAtOnce() throws Exception {
        start();
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 3; i++) { // the least of three: a busy machine only adds
            long ended = System.nanoTime();
            watchConnection.close();
            answerWatch();
            least = Math.min(least, (System.nanoTime() - ended) / 1_000_000);
            expectEvent("discovery failed");
            pushToWatch(list(42 + i, false, entry("s0", endpointPeer.address(), "active")));
            expectEvent("changes s0 UP"); // it works: the next end is the first again
            pushToWatch(list(41, false));
            expectEvent("changes");
        }
        assertTrue(least < 190, "took " + least + " ms; 200 and more before");
    }

    /** What the agent has counts as told: a node that stayed away for up to 2 s heard of a drain too late. */
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

    /** Taken line by line an indented list was none: each watch broke on its first line, and told nothing. */
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

    /** Asked for again and again with a version that discovery has forgotten, it was refused for ever. */
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

    /** A call for the list that is accepted and never answered was waited for 5 s; told it counts after 4. */
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
        silent.input.readAllBytes(); // returns at its end
        String list = list(43, true, entry("s0", endpointPeer.address(), "leaving"));
        watchConnection.write("HTTP/1.1 200 OK\r\ncontent-length: " + list.length() + "\r\n\r\n" + list);
        expectEvent("discovery failed");
        expectEvent("whole s0 DRAINING");
    }
}
