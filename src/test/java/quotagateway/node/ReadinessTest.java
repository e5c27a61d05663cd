package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.discovery.DiscoveryClientTest;
import quotagateway.startup.JitWarmup;
import quotagateway.startup.Readiness;

/** A restarting node is ready in time even if a peer is silent: until then the other gateways carry its load. */
class ReadinessTest extends NodeFixture {
    private boolean hasCachedList = true;

    @Override
    String configJson() {
        String text = super.configJson();
        return hasCachedList ? text : text.replace("\"known\":", "\"other\":");
    }

    /** Returns the time (ms) from program start until ready; the bits of neverReady mark parts that never come up. */
    private static double readyAfterMs(double elapsedMs, boolean hasCachedList, int neverReady) {
        DiscoveryClientTest.World clock = new DiscoveryClientTest.World(false);
        CompletableFuture<?>[] parts = new CompletableFuture<?>[3];
        for (int i = 0; i < 3; i++) {
            CompletableFuture<Void> part = new CompletableFuture<>();
            parts[i] = part;
            if ((neverReady >> i & 1) == 0) {
                clock.schedule(100, () -> part.complete(null));
            }
        }
        double[] readyAt = {Double.MAX_VALUE};
        Readiness.of(
                        clock,
                        elapsedMs,
                        hasCachedList,
                        parts[0].thenRun(() -> {}),
                        parts[1].thenRun(() -> {}),
                        parts[2].thenRun(() -> {}))
                .thenRun(() -> readyAt[0] = clock.now());
        clock.to(20_000);
        return elapsedMs + readyAt[0];
    }

    @Test
    void totalWaitOfAStartIsBounded() {
        assertEquals(100, readyAfterMs(0, true, 0), "the start does not wait for parts that are up");
        assertEquals(800, readyAfterMs(0, true, 1), "the cached list suffices");
        assertEquals(2000, readyAfterMs(0, true, 4), "connections are opened on demand");
        assertEquals(4000, readyAfterMs(0, false, 7), "without a list the node cannot serve");
        for (int neverReady = 0; neverReady < 8; neverReady++) {
            for (double elapsedMs = 0; elapsedMs <= 9000; elapsedMs += 300) {
                assertTrue(readyAfterMs(elapsedMs, true, neverReady) <= Math.max(5000, elapsedMs + 800));
                assertTrue(readyAfterMs(elapsedMs, true, neverReady) <= elapsedMs + 2000);
                assertTrue(readyAfterMs(elapsedMs, false, neverReady) <= Math.max(5000, elapsedMs + 800));
            }
        }
        assertTrue(JitWarmup.MAX_TIME_MS + 800 <= 5000, "the longest warm-up leaves no time for an unanswered call");
    }

    /** The counter and the endpoints accept connections and send nothing; discovery may do the same. */
    @ParameterizedTest
    @ValueSource(strings = {"discovery answers", "all silent", "all silent, no list"})
    void nodeListensEvenIfPeersAreSilent(String scenario) throws Exception {
        hasCachedList = !scenario.endsWith("no list");
        if (scenario.startsWith("discovery")) {
            Thread agent = new Thread(() -> {
                try {
                    answerWatch();
                } catch (Exception e) {
                    policyEvents.add("watch: " + e);
                }
            });
            agent.setDaemon(true);
            agent.start();
        }
        node = newNode(configJson());
        node.start();
        assertNotNull(node.listenAddress());
        Peer.Connection client = connectClient();
        client.sendCommand("PING");
        assertEquals(List.of("+PONG"), client.readMessage());
    }

    /** The node starts without the cached list: discovery has another list. */
    @Test
    void malformedCachedListDoesNotStopAStart() throws Exception {
        String text = configJson().replaceAll("\"known\":.*\\n", "\"known\":{\"whole\":true,\"hosts\":[5]},\n");
        node = newNode(text);
        node.start();
        assertNotNull(node.listenAddress());
    }
}
