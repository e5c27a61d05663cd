package quotagateway.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Who serves as this edge node: a file in the folder that a new version shares with the one it replaces names
 * the process that listened last. At its end a process learns from it whether another has taken its place.
 * All of it blocks on files, and is called from beside the loop.
 */
final class ProcessHandover {
    private final Path file;
    /** Names this process, and in tests this one node of it. */
    private final String me = ProcessHandle.current().pid() + " " + System.nanoTime();

    ProcessHandover(Path folder, String name) {
        file = folder.resolve("serving-" + name);
    }

    /** From here on this process serves; what cannot be written costs only a slower end of the one before. */
    void claim() {
        try {
            Path next = file.resolveSibling(
                    file.getFileName() + "." + ProcessHandle.current().pid());
            Files.writeString(next, me);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            System.err.println("handover: " + e);
        }
    }

    /** Whether this process comes up beside another: the folder of a plain start is empty. */
    boolean hasPredecessor() {
        return Files.exists(file);
    }

    /** Whether another process has listened since this one did. */
    boolean hasSuccessor() {
        try {
            return Files.exists(file)
                    && !Files.readString(file, StandardCharsets.UTF_8).equals(me);
        } catch (IOException e) {
            return false; // not known: the slower end serves both
        }
    }
}
