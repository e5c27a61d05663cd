package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The literal names and contents of the files that processes of different versions share during a handover. The
 * literals must not change with the code: a process that is in service today reads and writes these files.
 */
class StateFilesTest {
    private static final long PID = ProcessHandle.current().pid();

    @TempDir
    Path folder;

    private Path servingFile() {
        return folder.resolve("serving-n0");
    }

    private Path cordonsFile() {
        return folder.resolve("cordons-n0");
    }

    private ProcessHandover handover() {
        return new ProcessHandover(folder, "n0");
    }

    private CordonFile cordons() {
        return new CordonFile(folder, "n0");
    }

    private List<String> fileNames() throws IOException {
        try (var files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    // ---- serving-NAME ----

    @Test
    void servingFileOfAnotherVersionNamesAPredecessor() throws Exception {
        Files.writeString(servingFile(), "4711 81985529216486895");
        assertTrue(handover().hasPredecessor());
        assertTrue(handover().hasSuccessor(), "the file names another process");
    }

    @Test
    void servingFileOfAnotherGatewayIsIgnored() throws Exception {
        Files.writeString(folder.resolve("serving-n1"), "4711 81985529216486895");
        assertFalse(handover().hasPredecessor());
        assertFalse(handover().hasSuccessor());
    }

    @Test
    void claimWritesProcessIdAndNanosecondsWithoutANewline() throws Exception {
        Files.writeString(servingFile(), "4711 81985529216486895");
        ProcessHandover handover = handover();
        handover.claim();
        String text = Files.readString(servingFile());
        assertTrue(text.matches(PID + " -?[0-9]+"), text);
        assertEquals(List.of("serving-n0"), fileNames());
        assertFalse(handover.hasSuccessor());
    }

    @Test
    void laterClaimOfAnotherVersionIsASuccessor() throws Exception {
        ProcessHandover handover = handover();
        handover.claim();
        String own = Files.readString(servingFile());
        Files.writeString(servingFile(), "4712 81985529216486896");
        assertTrue(handover.hasSuccessor());
        Files.writeString(servingFile(), own);
        assertFalse(handover.hasSuccessor(), "the complete content identifies a process");
    }

    // ---- cordons-NAME ----

    @Test
    void cordonsOfAnotherVersionAreRead() throws Exception {
        Files.writeString(cordonsFile(), "s0\ns10\ns2\n");
        assertEquals(Set.of("s0", "s2", "s10"), cordons().read());
        Files.writeString(cordonsFile(), "");
        assertEquals(Set.of(), cordons().read());
        Files.writeString(cordonsFile(), "s0\ns-to");
        assertEquals(Set.of("s0"), cordons().read(), "the last line was cut off");
        Files.delete(cordonsFile());
        assertEquals(Set.of(), cordons().read());
    }

    @Test
    void cordonsAreWrittenSortedOneALineEachEndedByANewline() throws Exception {
        CordonFile cordons = cordons();
        assertTrue(cordons.update("s2", true));
        assertTrue(cordons.update("s10", true));
        assertTrue(cordons.update("größe", true));
        assertArrayEquals(
                "größe\ns10\ns2\n".getBytes(StandardCharsets.UTF_8), Files.readAllBytes(cordonsFile()), "in UTF-8");
        assertTrue(cordons.update("größe", false));
        assertTrue(cordons.update("s10", false));
        assertEquals("s2\n", Files.readString(cordonsFile()));
        assertTrue(cordons.update("s2", false));
        assertEquals("", Files.readString(cordonsFile()), "without cordons the file is empty, and is not deleted");
        assertEquals(List.of("cordons-n0"), fileNames());
    }

    @Test
    void cordonsOfAnotherVersionAreKeptByAnUpdate() throws Exception {
        CordonFile cordons = cordons();
        Files.writeString(cordonsFile(), "s5\n");
        assertTrue(cordons.update("s0", true));
        assertEquals("s0\ns5\n", Files.readString(cordonsFile()));
    }

    @Test
    void onlyChangesOfOthersAreReported() throws Exception {
        CordonFile cordons = cordons();
        assertEquals(Optional.empty(), cordons.readIfChanged());
        Files.writeString(cordonsFile(), "s5\n");
        assertEquals(Optional.of(Set.of("s5")), cordons.readIfChanged());
        assertEquals(Optional.empty(), cordons.readIfChanged());
        assertTrue(cordons.update("s0", true));
        assertEquals(Optional.empty(), cordons.readIfChanged());
        Files.writeString(cordonsFile(), "");
        assertEquals(Optional.of(Set.of()), cordons.readIfChanged());
    }

    @Test
    void updateOfAFileThatCannotBeWrittenFails() throws Exception {
        Files.createDirectory(cordonsFile());
        assertFalse(cordons().update("s0", true));
        assertEquals(Set.of(), cordons().read());
    }
}
