package quotagateway.node;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import quotagateway.admin.CordonResult;
import quotagateway.transport.EventLoopContext;

/**
 * Keeps the policy's cordons and the {@link CordonFile} alike, so that they outlive the process. The file is polled
 * too: while a new version comes up beside the old one, an operator's call reaches one of the two processes and holds
 * for both. The policy is called on the event loop, the file on a thread that this class owns.
 */
final class CordonStore implements AutoCloseable {
    /** How often (ms) the file is read: a call holds for the other process 1 s later at the latest. */
    private static final double POLL_INTERVAL_MS = 200;

    private final EventLoopContext loop;
    private final PolicyInvoker policy;
    private final CordonFile file;
    private final ExecutorService fileThread = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "cordons");
        thread.setDaemon(true);
        return thread;
    });
    /** Operators' calls so far: what was read before the last one is out of date. */
    private long callCount;

    private int pendingWrites;
    /** Cordons set (true) or taken off (false), by endpoint, that the file lacks: written again until it has them. */
    private final Map<String, Boolean> unstored = new LinkedHashMap<>();

    CordonStore(EventLoopContext loop, PolicyInvoker policy, Path folder, String name) {
        this.loop = loop;
        this.policy = policy;
        file = new CordonFile(folder, name);
    }

    /** The stored cordons; blocks, and is called before {@link #startPolling} only. */
    Set<String> load() {
        return file.read();
    }

    /** Reads the file from here on, for as long as the event loop runs; called on it. */
    void startPolling() {
        poll();
    }

    private void poll() {
        if (fileThread.isShutdown()) {
            return;
        }
        long callsBefore = callCount;
        fileThread.execute(() -> file.readIfChanged()
                .ifPresent(endpoints -> loop.execute(() -> applyUnlessOutdated(endpoints, callsBefore))));
        if (pendingWrites == 0) {
            Map.copyOf(unstored).forEach((endpoint, cordoned) -> write(endpoint, cordoned, result -> {}));
        }
        loop.schedule(POLL_INTERVAL_MS, this::poll);
    }

    /** What the file lacks must not be taken back by it. */
    private void applyUnlessOutdated(Set<String> endpoints, long callsBefore) {
        if (callsBefore == callCount && pendingWrites == 0 && unstored.isEmpty()) {
            policy.replaceCordons(endpoints);
        }
    }

    /**
     * Cordons an endpoint or takes its cordon off; called on the event loop. It holds at once; the result comes, on the
     * loop too, when it is stored or that has failed. What has failed is tried again.
     */
    void setCordoned(String endpoint, boolean cordoned, Consumer<CordonResult> onResult) {
        if (!policy.setCordoned(endpoint, cordoned)) {
            onResult.accept(CordonResult.UNKNOWN);
            return;
        }
        callCount++;
        unstored.put(endpoint, cordoned);
        write(endpoint, cordoned, onResult);
    }

    private void write(String endpoint, boolean cordoned, Consumer<CordonResult> onResult) {
        pendingWrites++;
        fileThread.execute(() -> {
            boolean stored = file.update(endpoint, cordoned);
            loop.execute(() -> onWritten(endpoint, cordoned, stored, onResult));
        });
    }

    private void onWritten(String endpoint, boolean cordoned, boolean stored, Consumer<CordonResult> onResult) {
        pendingWrites--;
        if (stored) {
            unstored.remove(endpoint, cordoned); // unless the opposite call has come meanwhile
        }
        onResult.accept(stored ? CordonResult.DONE : CordonResult.NOT_KEPT);
    }

    /** Ends the thread once it has written what it has been given; called once the event loop has ended. */
    @Override
    public void close() {
        fileThread.shutdown();
    }
}
