package quotagateway.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Determines which process serves as this gateway. The file {@code serving-NAME}, in the directory that a new version
 * shares with the one it replaces, names the process that was the last to listen, as {@code PID NANOS}. From the file,
 * a process learns at its start whether there is another one, and at its end whether another one has replaced it.
 * Processes of other versions read and write the file too, so its name and format are fixed. All methods block on files
 * and are not called on the event loop.
 */
final class ProcessHandover {
    /** Number of processes that share the limits of a gateway while a new version replaces the old one. */
    static final int PROCESSES_DURING_HANDOVER = 2;

    private final Path file;
    /**
     * Identifies this process. The time distinguishes nodes in one process, and processes that get the same id one
     * after the other.
     */
    private final String processMark = ProcessHandle.current().pid() + " " + System.nanoTime();

    /**
     * @param folder the state directory
     * @param name of the gateway
     */
    ProcessHandover(Path folder, String name) {
        file = folder.resolve("serving-" + name);
    }

    /** Records that this process serves from now on. If the write fails, the predecessor only takes longer to end. */
    void claim() {
        try {
            Path temporaryFile = file.resolveSibling(
                    file.getFileName() + "." + ProcessHandle.current().pid());
            Files.writeString(temporaryFile, processMark);
            Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            System.err.println("handover: " + e);
        }
    }

    /**
     * Whether this process, which has not called {@link #claim} yet, may run alongside another one; at an ordinary
     * start the directory is empty.
     */
    boolean hasPredecessor() {
        return Files.exists(file);
    }

    /** Whether another process has claimed since this one did; false if the file cannot be read. */
    boolean hasSuccessor() {
        try {
            return Files.exists(file)
                    && !Files.readString(file, StandardCharsets.UTF_8).equals(processMark);
        } catch (IOException e) {
            return false; // the slower shutdown, which keeps listening, is correct with and without a successor
        }
    }
}
