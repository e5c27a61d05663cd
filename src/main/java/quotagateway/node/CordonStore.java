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
 * Keeps the policy's cordons and the {@link CordonFile} in sync, so that cordons outlive the process. The file is also
 * polled: while a new version starts alongside the old one, an operator's call reaches one of the two processes and has
 * to apply to both. The policy is called on the event loop, the file is accessed on a thread that this class owns.
 */
final class CordonStore implements AutoCloseable {
    /** How often (ms) the file is read: an operator's call has to apply to the other process within 1 s. */
    private static final double POLL_INTERVAL_MS = 200;

    private final EventLoopContext loop;
    private final PolicyInvoker policy;
    private final CordonFile file;
    private final ExecutorService fileExecutor = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "cordons");
        thread.setDaemon(true);
        return thread;
    });
    /** Number of operator calls so far: file content read before the last call is out of date. */
    private long operatorCallCount;

    private int pendingWrites;
    /** Cordons set (true) or removed (false), by endpoint, that the file does not have yet; their write is retried. */
    private final Map<String, Boolean> unsavedChanges = new LinkedHashMap<>();

    CordonStore(EventLoopContext loop, PolicyInvoker policy, Path folder, String name) {
        this.loop = loop;
        this.policy = policy;
        file = new CordonFile(folder, name);
    }

    /** Returns the stored cordons. Blocks; called only before {@link #startPolling}. */
    Set<String> load() {
        return file.read();
    }

    /** Starts to poll the file, for as long as the event loop runs; called on the event loop. */
    void startPolling() {
        poll();
    }

    private void poll() {
        if (fileExecutor.isShutdown()) {
            return;
        }
        long callCountAtRead = operatorCallCount;
        fileExecutor.execute(() -> file.readIfChanged()
                .ifPresent(endpoints -> loop.execute(() -> applyUnlessOutdated(endpoints, callCountAtRead))));
        if (pendingWrites == 0) {
            Map.copyOf(unsavedChanges).forEach((endpoint, cordoned) -> write(endpoint, cordoned, result -> {}));
        }
        loop.schedule(POLL_INTERVAL_MS, this::poll);
    }

    /** Applies the cordons of the file, unless that would undo changes that the file does not have yet. */
    private void applyUnlessOutdated(Set<String> endpoints, long callCountAtRead) {
        if (callCountAtRead == operatorCallCount && pendingWrites == 0 && unsavedChanges.isEmpty()) {
            policy.replaceCordons(endpoints);
        }
    }

    /**
     * Cordons an endpoint or removes its cordon; called on the event loop. The change applies immediately; the result
     * is reported on the loop, once the change is stored or the write has failed. Failed writes are retried.
     */
    void setCordoned(String endpoint, boolean cordoned, Consumer<CordonResult> onResult) {
        if (!policy.setCordoned(endpoint, cordoned)) {
            onResult.accept(CordonResult.UNKNOWN);
            return;
        }
        operatorCallCount++;
        unsavedChanges.put(endpoint, cordoned);
        write(endpoint, cordoned, onResult);
    }

    private void write(String endpoint, boolean cordoned, Consumer<CordonResult> onResult) {
        pendingWrites++;
        fileExecutor.execute(() -> {
            boolean stored = file.update(endpoint, cordoned);
            loop.execute(() -> onWritten(endpoint, cordoned, stored, onResult));
        });
    }

    private void onWritten(String endpoint, boolean cordoned, boolean stored, Consumer<CordonResult> onResult) {
        pendingWrites--;
        if (stored) {
            unsavedChanges.remove(endpoint, cordoned); // unless an opposite call has replaced it meanwhile
        }
        onResult.accept(stored ? CordonResult.DONE : CordonResult.NOT_PERSISTED);
    }

    /** Ends the thread after the writes that are queued; called once the event loop has ended. */
    @Override
    public void close() {
        fileExecutor.shutdown();
    }
}
