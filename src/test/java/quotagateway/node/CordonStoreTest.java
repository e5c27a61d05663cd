package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Operators' calls that cordon endpoints, and how they are stored. */
class CordonStoreTest extends NodeFixture {
    private Path file() {
        return stateFolder.resolve("cordons-n0");
    }

    @Test
    void cordonOfAListedEndpointIsStoredAndOfAnUnknownOneIsNot() throws Exception {
        start();
        assertEquals(List.of("200", "done\n"), callAdmin(node, "POST", "/admin/cordon/s0"));
        expectEvent("cordon s0");
        assertEquals("s0\n", Files.readString(file()));
        assertEquals("200", callAdmin(node, "POST", "/admin/cordon/s0").get(0));
        assertEquals("s0\n", Files.readString(file()));
        expectEvent("cordon s0");
        assertEquals("404", callAdmin(node, "POST", "/admin/cordon/s1").get(0));
        expectEvent("cordon s1");
        assertEquals("404", callAdmin(node, "POST", "/admin/uncordon/").get(0));
        expectEvent("uncordon ");
        assertEquals("405", callAdmin(node, "GET", "/admin/cordon/s0").get(0));
        assertEquals("400", callAdmin(node, "POST", "/admin/cordon/s%").get(0));
        assertEquals("s0\n", Files.readString(file()));
        assertEquals("200", callAdmin(node, "POST", "/admin/uncordon/s%30").get(0));
        expectEvent("uncordon s0");
        assertEquals("", Files.readString(file()));
    }

    /** They are in force before the first attempt; a last line that was cut off is left out. */
    @Test
    void storedCordonsAreInForceInTheNextProcess() throws Exception {
        Files.writeString(file(), "s0\ns1\ns-to");
        start("cordons [s0, s1]");
        assertEquals("200", callAdmin(node, "POST", "/admin/uncordon/s0").get(0));
        assertEquals("s1\n", Files.readString(file()));
    }

    @Test
    void unreadableCordonFileDoesNotStopAStart() throws Exception {
        Files.createDirectory(file()); // can neither be read nor written as a file
        start();
        assertEquals("503", callAdmin(node, "POST", "/admin/cordon/s0").get(0));
        expectEvent("cordon s0");
    }

    /** A write that fails for a while must not lose the call for the next process. */
    @Test
    void cordonThatCouldNotBeStoredIsStoredWhenTheFolderIsBack() throws Exception {
        Files.createDirectory(file());
        start();
        assertEquals("503", callAdmin(node, "POST", "/admin/cordon/s0").get(0));
        expectEvent("cordon s0");
        Files.delete(file());
        long deadlineNanos = System.nanoTime() + 10_000_000_000L;
        while (!Files.exists(file()) && System.nanoTime() < deadlineNanos) {
            Thread.sleep(10);
        }
        assertEquals("s0\n", Files.readString(file()));
    }

    /** While a new version comes up beside the old one, a call that reaches one process holds for both. */
    @Test
    void cordonStoredByAnotherProcessIsInForceHere() throws Exception {
        start();
        Path replacement = stateFolder.resolve("next");
        Files.writeString(replacement, "s5\n");
        Files.move(replacement, file(), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        expectEvent("cordons [s5]");
        assertEquals("200", callAdmin(node, "POST", "/admin/cordon/s0").get(0));
        assertEquals(Set.of("s0", "s5"), Set.copyOf(Files.readAllLines(file())));
    }

    /** It is about to be restarted, as a rule: requests would find its idle connections dead. */
    @Test
    void cordonedEndpointKeepsNoIdleConnections() throws Exception {
        start();
        assertEquals("200", callAdmin(node, "POST", "/admin/cordon/s0").get(0));
        assertTrue(endpointConnection.awaitEnd());
    }
}
