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
 * The file {@code cordons-NAME} with the ids of the cordoned endpoints, each ended by a newline. It is replaced as a
 * whole, never written in place. Processes of other versions read and write it too: its name and form are fixed. All
 * methods block; after the first {@link #read} one thread alone calls them.
 */
final class CordonFile {
    private final Path file;
    /** As last read by {@link #readIfChanged} or written. */
    private Set<String> lastKnown = Set.of();

    /**
     * @param folder the state directory
     * @param name of the gateway
     */
    CordonFile(Path folder, String name) {
        file = folder.resolve("cordons-" + name);
    }

    /**
     * The cordoned endpoints. Nothing in the file keeps a node from starting: a last line that is cut off is left out,
     * no file means none, and where it cannot be read what was last known stands.
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

    /** The cordoned endpoints, where they are not those that were last read here or written. */
    Optional<Set<String>> readIfChanged() {
        Set<String> endpoints = read();
        if (endpoints.equals(lastKnown)) {
            return Optional.empty();
        }
        lastKnown = endpoints;
        return Optional.of(endpoints);
    }

    /** Stores one change of what the file has by now, as another process may have written it; false on failure. */
    boolean update(String endpoint, boolean cordoned) {
        Set<String> endpoints = new TreeSet<>(read());
        if (cordoned) {
            endpoints.add(endpoint);
        } else {
            endpoints.remove(endpoint);
        }
        StringBuilder text = new StringBuilder();
        endpoints.forEach(each -> text.append(each).append('\n'));
        try {
            Path next = file.resolveSibling(
                    file.getFileName() + "." + ProcessHandle.current().pid());
            Files.writeString(next, text);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
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
