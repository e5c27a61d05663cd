package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import quotagateway.config.GatewayConfig;
import quotagateway.config.Json;

/** A watch that breaks off or stalls: what it had to tell may be a drain, and that has 250 ms. */
class DiscoveryWatchTest extends NodeFixture {
    /** Half a line, and no end of the connection either: 5 s passed before it was taken for dead. */
    @Test
    void halfALineThatStallsIsAskedForAnew() throws Exception {
        start();
        String line = list(42, false, entry("s0", app.address(), "leaving"));
        watch.write(Integer.toHexString(line.length() + 1) + "\r\n" + line.substring(0, line.length() / 2));
        Peer.Line next = discovery.poll(1500);
        assertNotNull(next, "a new watch long before silence is told from its death");
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", next.line());
        assertTrue(watch.ended());
    }

    /** Ten nodes killed together came up one by one, as an overbooked discovery had told each its list. */
    @Test
    void aNodeThatKnowsAListListensBeforeDiscoveryAnswers() throws Exception {
        NodeFixture.Script script = new NodeFixture.Script();
        node = new GatewayNode(
                GatewayConfig.of(Json.read(config()), Map.of("TMPDIR", state.toString())),
                (settings, seed, now, actions) -> {
                    script.act = actions;
                    return script;
                });
        long begun = System.nanoTime();
        node.start(); // nobody answers at discovery's address
        long took = (System.nanoTime() - begun) / 1_000_000;
        assertTrue(took < 3500, "took " + took + " ms; 4 s is the most that is waited for parts not ready");
        server = app.accept();
        expect("whole s0 UP");
        try (Peer.Line client = client()) {
            get(client, "01", "read", 900);
            String what = told.poll(10, TimeUnit.SECONDS);
            while ("discovery failed".equals(what)) { // it is asked again and again meanwhile
                what = told.poll(10, TimeUnit.SECONDS);
            }
            assertEquals("arrived 1 read p " + CUSTOMER + " 2 3 1 false", what);
            server.message();
            server.value("v");
            assertEquals(List.of("v"), client.message());
        }
    }

    /** What the agent has counts as told from the first moment: one quiet call at the start is waited out. */
    @Test
    void aNodeWhoseFirstCallIsQuietAsksAgainBeforeItListens() throws Exception {
        NodeFixture.Script script = new NodeFixture.Script();
        node = new GatewayNode(
                GatewayConfig.of(Json.read(config()), Map.of("TMPDIR", state.toString())),
                (settings, seed, now, actions) -> {
                    script.act = actions;
                    return script;
                });
        Thread starting = new Thread(() -> {
            try {
                node.start();
            } catch (java.io.IOException e) {
                told.add("start: " + e);
            }
        });
        starting.start();
        Peer.Line quiet = discovery.accept();
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", quiet.line());
        watch = discovery.accept();
        assertEquals(null, node.listenAddress(), "it listens by the list known from before");
        watch.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        push(list(42, false, entry("s0", app.address(), "leaving")));
        expect("whole s0 UP");
        expect("discovery failed");
        expect("changes s0 DRAINING");
        starting.join();
        assertNotNull(node.listenAddress());
    }

    /** After a watch that worked the next comes at once, not after the wait for one that cannot be had. */
    @Test
    void aWatchThatBreaksOffIsBackAtOnce() throws Exception {
        start();
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 3; i++) { // the least of three: a busy machine only adds
            long ended = System.nanoTime();
            watch.close();
            answerWatch();
            least = Math.min(least, (System.nanoTime() - ended) / 1_000_000);
            expect("discovery failed");
            push(list(42 + i, false, entry("s0", app.address(), "active")));
            expect("changes s0 UP"); // it works: the next end is the first again
            push(list(41, false));
            expect("changes");
        }
        assertTrue(least < 190, "took " + least + " ms; 200 and more before");
    }

    /** What the agent has counts as told: a node that stayed away for up to 2 s heard of a drain too late. */
    @Test
    void anAgentThatEndsEachWatchIsAskedAgainSoon() throws Exception {
        start();
        watch.close();
        for (int i = 0; i < 10; i++) {
            Peer.Line again = discovery.poll(1000);
            assertNotNull(again, "after " + i);
            again.close();
        }
    }

    /** Taken line by line an indented list was none: each watch broke on its first line, and told nothing. */
    @Test
    void anIndentedListIsOneList() throws Exception {
        start();
        push("{\n  \"seq\": 42,\n  \"whole\": false,\n  \"hosts\": [\n    "
                + entry("s0", app.address(), "leaving").replace(",", ",\n      ") + "\n  ]\n}");
        push("");
        expect("changes s0 DRAINING");
        watch.close();
        expect("discovery failed");
        watch = discovery.accept();
        assertEquals("GET /catalog/members?follow=1&since=42 HTTP/1.1", watch.line());
    }

    /** Asked for again and again with a version that discovery has forgotten, it was refused for ever. */
    @Test
    void aVersionThatIsRefusedIsFollowedByTheWholeList() throws Exception {
        start();
        watch.close();
        expect("discovery failed");
        watch = discovery.accept();
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", watch.line());
        watch.write("HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n");
        expect("discovery failed");
        watch = discovery.accept();
        assertEquals("GET /catalog/members HTTP/1.1", watch.line());
    }

    /** A call for the list that is accepted and never answered was waited for 5 s; told it counts after 4. */
    @Test
    void aCallForTheListThatIsNeverAnsweredIsMadeAnew() throws Exception {
        start();
        watch.close();
        expect("discovery failed");
        watch = discovery.accept();
        watch.write("HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n");
        expect("discovery failed");
        Peer.Line silent = discovery.accept();
        assertEquals("GET /catalog/members HTTP/1.1", silent.line());
        watch = discovery.poll(3000);
        assertNotNull(watch, "asked anew before what it had to tell counts as told");
        assertEquals("GET /catalog/members HTTP/1.1", watch.line());
        silent.in.readAllBytes(); // returns at its end
        String list = list(43, true, entry("s0", app.address(), "leaving"));
        watch.write("HTTP/1.1 200 OK\r\ncontent-length: " + list.length() + "\r\n\r\n" + list);
        expect("discovery failed");
        expect("whole s0 DRAINING");
    }
}
