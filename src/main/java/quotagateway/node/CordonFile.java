package quotagateway.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The file {@code cordons-NAME} with the ids of the cordoned endpoints, each terminated by a newline. It is replaced
 * atomically, never written in place. Processes of other versions read and write it too, so its name and format are
 * fixed. A process that writes it holds a lock on {@code cordons-NAME.lock}, as two processes that read the same
 * content would each drop the other's change.
 *
 * <p>This class remembers nothing of what it has read. All methods block, and are called by one thread at a time.
 */
final class CordonFile {
    /** How long (ms) another process's write is waited for; it takes a few milliseconds unless that process hangs. */
    private static final long MAX_LOCK_WAIT_MS = 400;

    private static final long LOCK_RETRY_INTERVAL_MS = 5;
    private static final long NANOS_PER_MS = 1_000_000;

    private final Path file;
    private final Path lockFile;

    /**
     * @param folder the state directory
     * @param name of the gateway
     */
    CordonFile(Path folder, String name) {
        file = folder.resolve("cordons-" + name);
        lockFile = folder.resolve("cordons-" + name + ".lock");
    }

    /**
     * Returns the cordoned endpoints, or nothing if the file cannot be read. A truncated last line is ignored, and a
     * missing file has no endpoints.
     */
    Optional<Set<String>> read() {
        try {
            return Optional.of(readContent());
        } catch (IOException e) {
            logFailure(e);
            return Optional.empty();
        }
    }

    private Set<String> readContent() throws IOException {
        String text;
        try {
            text = new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            return Set.of();
        }
        Set<String> endpoints = new TreeSet<>();
        int start = 0;
        for (int end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', start)) {
            endpoints.add(text.substring(start, end));
            start = end + 1;
        }
        return endpoints;
    }

    /**
     * Adds or removes one endpoint in the current content of the file, which another process may have written. Returns
     * the new content, or nothing if the file could not be read or written; it is unchanged then.
     */
    Optional<Set<String>> update(String endpoint, boolean cordoned) {
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            lock(channel);
            Set<String> endpoints = new TreeSet<>(readContent());
            if (cordoned) {
                endpoints.add(endpoint);
            } else {
                endpoints.remove(endpoint);
            }
            replaceContent(endpoints);
            return Optional.of(endpoints);
        } catch (IOException e) {
            logFailure(e);
            return Optional.empty();
        }
    }

    /** Waits for the lock, which closing the channel releases; processes of earlier versions do not take it. */
    private void lock(FileChannel channel) throws IOException {
        long deadlineNanos = System.nanoTime() + MAX_LOCK_WAIT_MS * NANOS_PER_MS;
        while (!tryLock(channel)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException("locked by another process: " + lockFile);
            }
            pause();
        }
    }

    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            return false; // held by another node of this process
        }
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(LOCK_RETRY_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private void replaceContent(Set<String> endpoints) throws IOException {
        StringBuilder text = new StringBuilder();
        endpoints.forEach(id -> text.append(id).append('\n'));
        Path temporaryFile = file.resolveSibling(
                file.getFileName() + "." + ProcessHandle.current().pid());
        Files.writeString(temporaryFile, text);
        Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private static void logFailure(IOException cause) {
        System.err.println("cordons: " + cause);
    }
}
