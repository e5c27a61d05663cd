package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
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
        assertEquals(Optional.of(Set.of("s0", "s2", "s10")), cordons().read());
        Files.writeString(cordonsFile(), "");
        assertEquals(Optional.of(Set.of()), cordons().read());
        Files.writeString(cordonsFile(), "s0\ns-to");
        assertEquals(Optional.of(Set.of("s0")), cordons().read(), "the last line was cut off");
        Files.delete(cordonsFile());
        assertEquals(Optional.of(Set.of()), cordons().read());
    }

    @Test
    void cordonsAreWrittenSortedOneALineEachEndedByANewline() throws Exception {
        CordonFile cordons = cordons();
        assertTrue(cordons.update("s2", true).isPresent());
        assertTrue(cordons.update("s10", true).isPresent());
        assertTrue(cordons.update("größe", true).isPresent());
        assertArrayEquals(
                "größe\ns10\ns2\n".getBytes(StandardCharsets.UTF_8), Files.readAllBytes(cordonsFile()), "in UTF-8");
        assertTrue(cordons.update("größe", false).isPresent());
        assertTrue(cordons.update("s10", false).isPresent());
        assertEquals("s2\n", Files.readString(cordonsFile()));
        assertTrue(cordons.update("s2", false).isPresent());
        assertEquals("", Files.readString(cordonsFile()), "without cordons the file is empty, and is not deleted");
        assertEquals(List.of("cordons-n0", "cordons-n0.lock"), fileNames());
    }

    @Test
    void cordonsOfAnotherVersionAreKeptByAnUpdate() throws Exception {
        CordonFile cordons = cordons();
        Files.writeString(cordonsFile(), "s5\n");
        assertTrue(cordons.update("s0", true).isPresent());
        assertEquals("s0\ns5\n", Files.readString(cordonsFile()));
    }

    /** Guards against an update that hides from its caller what another process has written meanwhile. */
    @Test
    void updateReturnsTheChangesOfOthersToo() throws Exception {
        CordonFile cordons = cordons();
        assertEquals(Optional.of(Set.of("s0")), cordons.update("s0", true));
        Files.writeString(cordonsFile(), "s0\ns5\n");
        assertEquals(Optional.of(Set.of("s0", "s1", "s5")), cordons.update("s1", true));
        Files.writeString(cordonsFile(), "s1\n");
        assertEquals(Optional.of(Set.of()), cordons.update("s1", false));
        assertEquals(Optional.of(Set.of()), cordons.read());
    }

    /** A process that is killed between its write and the rename leaves a file that no other process reads. */
    @Test
    void unfinishedWriteOfAKilledProcessIsIgnored() throws Exception {
        Files.writeString(cordonsFile(), "s0\n");
        Files.writeString(folder.resolve("cordons-n0.4711"), "s0\ns");
        Files.writeString(folder.resolve("cordons-n0.lock"), "");
        assertEquals(Optional.of(Set.of("s0")), cordons().read());
        assertEquals(Optional.of(Set.of("s0", "s1")), cordons().update("s1", true));
    }

    /** Two processes that write in the same instant must not drop each other's change. */
    @Test
    void concurrentUpdatesAreAllKept() throws Exception {
        int updates = 100;
        List<Thread> processes = new ArrayList<>();
        Set<String> expected = new HashSet<>();
        for (int i = 0; i < 2; i++) {
            CordonFile cordons = new CordonFile(folder, "n0");
            String prefix = "s" + i + "-";
            processes.add(new Thread(() -> {
                for (int k = 0; k < updates; k++) {
                    while (cordons.update(prefix + k, true).isEmpty()) { // repeated, as CordonStore does
                        Thread.onSpinWait();
                    }
                }
            }));
            for (int k = 0; k < updates; k++) {
                expected.add(prefix + k);
            }
        }
        processes.forEach(Thread::start);
        for (Thread process : processes) {
            process.join();
        }
        assertEquals(Optional.of(expected), cordons().read());
    }

    @Test
    void updateOfAFileThatCannotBeWrittenFails() throws Exception {
        Files.createDirectory(cordonsFile());
        assertEquals(Optional.empty(), cordons().update("s0", true));
        assertEquals(Optional.empty(), cordons().read(), "it is not known what the file contains");
    }
}
