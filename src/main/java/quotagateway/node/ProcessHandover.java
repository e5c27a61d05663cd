package quotagateway.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Which process serves as this gateway. The file {@code serving-NAME}, in the folder that a new version shares with
 * the one that it replaces, names the process that has listened last, as {@code PID NANOS}; so a process learns at its
 * start whether there is another, and at its end whether another has taken its place. Processes of other versions read
 * and write it too: its name and form are fixed. All methods block on files and are called from beside the event loop.
 */
final class ProcessHandover {
    private final Path file;
    /** The time tells apart nodes in one process, and processes that get the same id one after the other. */
    private final String ownMark = ProcessHandle.current().pid() + " " + System.nanoTime();

    /**
     * @param folder the state directory
     * @param name of the gateway
     */
    ProcessHandover(Path folder, String name) {
        file = folder.resolve("serving-" + name);
    }

    /** From here on this process serves. Where that cannot be written, its predecessor only ends more slowly. */
    void claim() {
        try {
            Path next = file.resolveSibling(
                    file.getFileName() + "." + ProcessHandle.current().pid());
            Files.writeString(next, ownMark);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            System.err.println("handover: " + e);
        }
    }

    /** Whether this process, which has not claimed yet, may run beside another: a plain start has an empty folder. */
    boolean hasPredecessor() {
        return Files.exists(file);
    }

    /** Whether another process has claimed since this one did; false where that cannot be read. */
    boolean hasSuccessor() {
        try {
            return Files.exists(file)
                    && !Files.readString(file, StandardCharsets.UTF_8).equals(ownMark);
        } catch (IOException e) {
            return false; // the slower shutdown, which keeps listening, is right with and without a successor
        }
    }
}
