package quotagateway.node;

import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import quotagateway.admin.CordonResult;
import quotagateway.log.NodeEvent;
import quotagateway.log.NodeEvent.CordonsChanged.Source;
import quotagateway.transport.EventLoopContext;

/**
 * Keeps the policy's cordons and the {@link CordonFile} in sync, so that cordons outlive the process. The file is also
 * polled: while a new version starts alongside the old one, an operator's call reaches one of the two processes and has
 * to apply to both. What applies is decided by the {@link CordonSet}. The policy is called on the event loop, the file
 * is accessed on a thread that this class owns, one access after the other.
 */
final class CordonStore implements AutoCloseable {
    /** How often (ms) the file is read: an operator's call has to apply to the other process within 1 s. */
    private static final double POLL_INTERVAL_MS = 200;

    private final EventLoopContext loop;
    private final CordonTarget policy;
    private final Consumer<NodeEvent> eventLog;
    private final CordonFile file;
    private final ExecutorService fileExecutor;
    private final CordonSet cordons = new CordonSet();
    /** Number of writes that have not ended yet. */
    private int pendingWrites;

    CordonStore(EventLoopContext loop, CordonTarget policy, Consumer<NodeEvent> eventLog, Path folder, String name) {
        this(loop, policy, eventLog, new CordonFile(folder, name), Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "cordons");
            thread.setDaemon(true);
            return thread;
        }));
    }

    /**
     * Creates a store that is not polling yet.
     *
     * @param eventLog gets an event for each change of what applies
     * @param fileExecutor runs one task after the other; this class shuts it down
     */
    CordonStore(
            EventLoopContext loop,
            CordonTarget policy,
            Consumer<NodeEvent> eventLog,
            CordonFile file,
            ExecutorService fileExecutor) {
        this.loop = loop;
        this.policy = policy;
        this.eventLog = eventLog;
        this.file = file;
        this.fileExecutor = fileExecutor;
    }

    /** Returns the stored cordons, none if they cannot be read. Blocks; called only before {@link #start}. */
    Set<String> load() {
        return file.read().orElse(Set.of());
    }

    /** Applies the stored cordons, and polls the file for as long as the event loop runs; called on the event loop. */
    void start(Set<String> stored) {
        apply(Optional.of(stored));
        poll();
    }

    private void poll() {
        if (fileExecutor.isShutdown()) {
            return;
        }
        loop.schedule(POLL_INTERVAL_MS, this::poll);
        fileExecutor.execute(() -> {
            Optional<Set<String>> content = file.read();
            loop.execute(() -> apply(content));
        });
        if (pendingWrites == 0) {
            cordons.unsaved().forEach(change -> write(change, result -> {}));
        }
    }

    /** Applies what an access to the file has found; called in the order of the accesses. */
    private void apply(Optional<Set<String>> fileContent) {
        fileContent.flatMap(cordons::merge).ifPresent(endpoints -> {
            policy.replaceCordons(endpoints);
            eventLog.accept(new NodeEvent.CordonsChanged(Source.FILE, cordons.applied()));
        });
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
        CordonSet.Change change = cordons.add(endpoint, cordoned);
        eventLog.accept(new NodeEvent.CordonsChanged(Source.OPERATOR, cordons.applied()));
        write(change, onResult);
    }

    private void write(CordonSet.Change change, Consumer<CordonResult> onResult) {
        pendingWrites++;
        fileExecutor.execute(() -> {
            Optional<Set<String>> content = file.update(change.endpoint(), change.isCordoned());
            loop.execute(() -> onWritten(change, content, onResult));
        });
    }

    /** Handles the end of a write, which has also read what other processes have written. */
    private void onWritten(CordonSet.Change change, Optional<Set<String>> content, Consumer<CordonResult> onResult) {
        pendingWrites--;
        if (content.isPresent()) {
            cordons.onSaved(change);
        }
        apply(content);
        onResult.accept(content.isPresent() ? CordonResult.DONE : CordonResult.NOT_PERSISTED);
    }

    /** Returns the number of cordoned endpoints; called on the event loop. */
    int count() {
        return cordons.applied().size();
    }

    /** Ends the thread after the accesses that are queued; called once the event loop has ended. */
    @Override
    public void close() {
        fileExecutor.shutdown();
    }
}
