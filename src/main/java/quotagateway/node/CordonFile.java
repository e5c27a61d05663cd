package quotagateway.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The file {@code cordons-NAME} with the ids of the cordoned endpoints, each terminated by a newline. It is replaced
 * atomically, never written in place. Processes of other versions read and write it too, so its name and format are
 * fixed. All methods block; after the first {@link #read} only one thread calls them.
 */
final class CordonFile {
    private final Path file;
    /** The cordoned endpoints as last read by {@link #readIfChanged} or written. */
    private Set<String> lastKnown = Set.of();

    /**
     * @param folder the state directory
     * @param name of the gateway
     */
    CordonFile(Path folder, String name) {
        file = folder.resolve("cordons-" + name);
    }

    /**
     * Returns the cordoned endpoints. No state of the file prevents a start: a truncated last line is ignored, a
     * missing file counts as empty, and if the file cannot be read the last known endpoints are returned.
     */
    Set<String> read() {
        try {
            String text = new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
            Set<String> endpoints = new TreeSet<>();
            int start = 0;
            for (int end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', start)) {
                endpoints.add(text.substring(start, end));
                start = end + 1;
            }
            return endpoints;
        } catch (NoSuchFileException e) {
            return Set.of();
        } catch (IOException e) {
            logFailure(e);
            return lastKnown;
        }
    }

    /** Returns the cordoned endpoints if they differ from those last read by this method or written. */
    Optional<Set<String>> readIfChanged() {
        Set<String> endpoints = read();
        if (endpoints.equals(lastKnown)) {
            return Optional.empty();
        }
        lastKnown = endpoints;
        return Optional.of(endpoints);
    }

    /**
     * Adds or removes one endpoint in the current content of the file, which another process may have written. Returns
     * false on failure.
     */
    boolean update(String endpoint, boolean cordoned) {
        Set<String> endpoints = new TreeSet<>(read());
        if (cordoned) {
            endpoints.add(endpoint);
        } else {
            endpoints.remove(endpoint);
        }
        StringBuilder text = new StringBuilder();
        endpoints.forEach(id -> text.append(id).append('\n'));
        try {
            Path temporaryFile = file.resolveSibling(
                    file.getFileName() + "." + ProcessHandle.current().pid());
            Files.writeString(temporaryFile, text);
            Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            logFailure(e);
            return false;
        }
        lastKnown = endpoints;
        return true;
    }

    private static void logFailure(IOException cause) {
        System.err.println("cordons: " + cause);
    }
}
