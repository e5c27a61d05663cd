package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Admin calls that cordon endpoints, and the storage of the cordons. */
class CordonStoreTest extends NodeFixture {
    private Path cordonFile() {
        return stateFolder.resolve("cordons-n0");
    }

    @Test
    void onlyCordonsOfListedEndpointsAreStored() throws Exception {
        start();
        assertEquals(List.of("200", "done\n"), callAdmin(node, "POST", "/admin/cordon/s0"));
        expectEvent("cordon s0");
        assertEquals("s0\n", Files.readString(cordonFile()));
        assertEquals("200", callAdmin(node, "POST", "/admin/cordon/s0").get(0));
        assertEquals("s0\n", Files.readString(cordonFile()));
        expectEvent("cordon s0");
        assertEquals("404", callAdmin(node, "POST", "/admin/cordon/s1").get(0));
        expectEvent("cordon s1");
        assertEquals("404", callAdmin(node, "POST", "/admin/uncordon/").get(0));
        expectEvent("uncordon ");
        assertEquals("405", callAdmin(node, "GET", "/admin/cordon/s0").get(0));
        assertEquals("400", callAdmin(node, "POST", "/admin/cordon/s%").get(0));
        assertEquals("s0\n", Files.readString(cordonFile()));
        assertEquals("200", callAdmin(node, "POST", "/admin/uncordon/s%30").get(0));
        expectEvent("uncordon s0");
        assertEquals("", Files.readString(cordonFile()));
    }

    /** Stored cordons apply before the first attempt; a truncated last line is ignored. */
    @Test
    void storedCordonsApplyInTheNextProcess() throws Exception {
        Files.writeString(cordonFile(), "s0\ns1\ns-to");
        start("cordons [s0, s1]");
        assertEquals("200", callAdmin(node, "POST", "/admin/uncordon/s0").get(0));
        assertEquals("s1\n", Files.readString(cordonFile()));
    }

    @Test
    void unreadableCordonFileDoesNotStopAStart() throws Exception {
        Files.createDirectory(cordonFile()); // can neither be read nor written as a file
        start();
        assertEquals("503", callAdmin(node, "POST", "/admin/cordon/s0").get(0));
        expectEvent("cordon s0");
    }

    /** A cordon must reach the next process even if writing the file fails temporarily. */
    @Test
    void cordonIsStoredOnceItsFileIsWritableAgain() throws Exception {
        Files.createDirectory(cordonFile());
        start();
        assertEquals("503", callAdmin(node, "POST", "/admin/cordon/s0").get(0));
        expectEvent("cordon s0");
        Files.delete(cordonFile());
        long deadlineNanos = System.nanoTime() + 10_000_000_000L;
        while (!Files.exists(cordonFile()) && System.nanoTime() < deadlineNanos) {
            Thread.sleep(10);
        }
        assertEquals("s0\n", Files.readString(cordonFile()));
    }

    /** While a new version starts next to the old one, a cordon call that reaches one process applies to both. */
    @Test
    void cordonStoredByAnotherProcessApplies() throws Exception {
        start();
        Path replacement = stateFolder.resolve("next");
        Files.writeString(replacement, "s5\n");
        Files.move(replacement, cordonFile(), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        expectEvent("cordons [s5]");
        assertEquals("200", callAdmin(node, "POST", "/admin/cordon/s0").get(0));
        assertEquals(Set.of("s0", "s5"), Set.copyOf(Files.readAllLines(cordonFile())));
    }

    /** Guards against the loss of another process's cordon that is written just before a call to this process. */
    @Test
    void cordonOfAnotherProcessRightBeforeAnOwnCallApplies() throws Exception {
        recordDiscoveryFailures = false;
        start();
        Path replacement = stateFolder.resolve("next");
        Files.writeString(replacement, "s5\n");
        Files.move(replacement, cordonFile(), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        assertEquals("200", callAdmin(node, "POST", "/admin/cordon/s0").get(0));
        String event = policyEvents.poll(5, TimeUnit.SECONDS);
        while (event != null && !event.equals("cordons [s0, s5]")) {
            event = policyEvents.poll(5, TimeUnit.SECONDS);
        }
        assertEquals("cordons [s0, s5]", event, "what the policy was told last");
        assertTrue(callAdmin(node, "GET", "/admin/stats").get(1).contains("cordoned_endpoints 2\n"));
    }

    /** A cordoned endpoint is usually about to restart, and requests would find its idle connections dead. */
    @Test
    void cordonedEndpointKeepsNoIdleConnections() throws Exception {
        start();
        assertEquals("200", callAdmin(node, "POST", "/admin/cordon/s0").get(0));
        assertTrue(endpointConnection.awaitEnd());
    }
}
