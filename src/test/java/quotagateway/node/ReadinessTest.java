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

/** A node that restarts is ready in time, whoever is silent: the other gateways carry its load until then. */
class ReadinessTest extends NodeFixture {
    private boolean known = true;

    @Override
    String configJson() {
        String text = super.configJson();
        return known ? text : text.replace("\"known\":", "\"other\":");
    }

    /** How long (ms) a start takes from the program's first line on; bits name the parts that never come up. */
    private static double ready(double spent, boolean known, int never) {
        DiscoveryClientTest.World clock = new DiscoveryClientTest.World(false);
        CompletableFuture<?>[] parts = new CompletableFuture<?>[3];
        for (int i = 0; i < 3; i++) {
            CompletableFuture<Void> part = new CompletableFuture<>();
            parts[i] = part;
            if ((never >> i & 1) == 0) {
                clock.schedule(100, () -> part.complete(null));
            }
        }
        double[] at = {Double.MAX_VALUE};
        Readiness.of(
                        clock,
                        spent,
                        known,
                        parts[0].thenRun(() -> {}),
                        parts[1].thenRun(() -> {}),
                        parts[2].thenRun(() -> {}))
                .thenRun(() -> at[0] = clock.now());
        clock.to(20_000);
        return spent + at[0];
    }

    @Test
    void waitsOfAStartAreBoundedInSum() {
        assertEquals(100, ready(0, true, 0), "nothing is waited for that is there");
        assertEquals(800, ready(0, true, 1), "a list known from before serves");
        assertEquals(2000, ready(0, true, 4), "connections are made when they are asked for");
        assertEquals(4000, ready(0, false, 7), "without a list there is nothing to serve by");
        for (int never = 0; never < 8; never++) {
            for (double spent = 0; spent <= 9000; spent += 300) {
                assertTrue(ready(spent, true, never) <= Math.max(5000, spent + 800));
                assertTrue(ready(spent, true, never) <= spent + 2000);
                assertTrue(ready(spent, false, never) <= Math.max(5000, spent + 800));
            }
        }
        assertTrue(JitWarmup.MAX_TIME_MS + 800 <= 5000, "the longest warm-up leaves time for a quiet call");
    }

    /** Counter and endpoints accept connections and send nothing, and discovery may do the same. */
    @ParameterizedTest
    @ValueSource(strings = {"discovery answers", "all silent", "all silent, no list"})
    void nodeListensWhoeverIsSilent(String how) throws Exception {
        known = !how.endsWith("no list");
        if (how.startsWith("discovery")) {
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

    /** Discovery has another list. */
    @Test
    void malformedCachedListDoesNotStopAStart() throws Exception {
        String text = configJson().replaceAll("\"known\":.*\\n", "\"known\":{\"whole\":true,\"hosts\":[5]},\n");
        node = newNode(text);
        node.start();
        assertNotNull(node.listenAddress());
    }
}
