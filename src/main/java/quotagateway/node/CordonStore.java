package quotagateway.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import quotagateway.admin.CordonResult;

/**
 * Keeps which servers are out by hand, in a file that the next process of this edge node finds. What is out
 * is the module's to know; this is its memory past the process's end. The file has a server a line and is
 * replaced whole. It is read again all the time: while a new version comes up, calls reach one process and
 * bind both.
 */
final class CordonStore {

    /** Between readings (ms): a call binds the other process 1 s later at the latest. */
    private static final double READ_EVERY = 200;

    private final GatewayNode node;
    private final Path file;
    private final ExecutorService files = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "cordons");
        thread.setDaemon(true);
        return thread;
    });
    /** Calls so far: a reading that began before the last one is old. */
    private long calls;
    /** Calls on their way to the file. */
    private int writing;
    /** Calls in force that the file lacks: it must not take them back, and they are written again. */
    private final Map<String, Boolean> unkept = new LinkedHashMap<>();
    /** As last read or written by the thread of the files. */
    private Set<String> last = Set.of();

    CordonStore(GatewayNode node, Path folder, String name) {
        this.node = node;
        file = folder.resolve("cordons-" + name);
    }

    /** Reads on from the loop, for as long as the node runs. */
    void start() {
        long asOf = calls;
        files.execute(() -> {
            Set<String> before = last;
            Set<String> now = load();
            last = now;
            if (!now.equals(before)) {
                node.execute(() -> {
                    if (asOf == calls && writing == 0 && unkept.isEmpty()) {
                        node.cordons(now);
                    }
                });
            }
        });
        if (writing == 0) {
            Map.copyOf(unkept).forEach((server, out) -> write(server, out, result -> {}));
        }
        node.schedule(READ_EVERY, this::start);
    }

    /** Takes a server out or puts it back: here at once, and answered when that is kept. */
    void setCordoned(String server, boolean out, Consumer<CordonResult> answer) {
        if (!node.cordon(server, out)) {
            answer.accept(CordonResult.UNKNOWN);
            return;
        }
        calls++;
        unkept.put(server, out);
        write(server, out, answer);
    }

    private void write(String server, boolean out, Consumer<CordonResult> answer) {
        writing++;
        files.execute(() -> {
            boolean done = keep(server, out);
            node.execute(() -> {
                writing--;
                if (done) {
                    unkept.remove(server, out); // unless the other call for it came meanwhile
                }
                answer.accept(done ? CordonResult.DONE : CordonResult.NOT_KEPT);
            });
        });
    }

    /** What is kept; blocks. A line that is not whole, or a file that cannot be read, keeps no start back. */
    Set<String> load() {
        try {
            String text = new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
            Set<String> servers = new TreeSet<>();
            int from = 0;
            for (int to = text.indexOf('\n'); to >= 0; to = text.indexOf('\n', from)) {
                servers.add(text.substring(from, to));
                from = to + 1;
            }
            return servers;
        } catch (NoSuchFileException e) {
            return Set.of();
        } catch (IOException e) {
            System.err.println("cordons: " + e);
            return last;
        }
    }

    private boolean keep(String server, boolean out) {
        try {
            Set<String> servers = new TreeSet<>(load()); // another process may have written since
            if (out) {
                servers.add(server);
            } else {
                servers.remove(server);
            }
            StringBuilder text = new StringBuilder();
            servers.forEach(each -> text.append(each).append('\n'));
            Path next = file.resolveSibling(
                    file.getFileName() + "." + ProcessHandle.current().pid());
            Files.writeString(next, text);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            last = servers;
            return true;
        } catch (IOException e) {
            System.err.println("cordons: " + e);
            return false;
        }
    }
}
