package quotagateway.transport;

import io.netty.channel.Channel;
import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/** An event loop whose clock stands until a test moves it on. */
public final class ManualEventLoop implements EventLoopContext {
    private record Task(double dueMs, long number, Runnable action, DefaultPromise<Void> promise) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::dueMs).thenComparingLong(Task::number));
    private final Set<Channel> unflushed = new LinkedHashSet<>();
    private final List<String> failures = new ArrayList<>();
    private double nowMs = 1000;
    private long taskCount;

    @Override
    public double now() {
        return nowMs;
    }

    @Override
    public Future<?> schedule(double delayMs, Runnable action) {
        DefaultPromise<Void> promise = new DefaultPromise<>(ImmediateEventExecutor.INSTANCE);
        tasks.add(new Task(nowMs + Math.max(0, delayMs), ++taskCount, action, promise));
        return promise;
    }

    @Override
    public void execute(Runnable action) {
        schedule(0, action);
    }

    @Override
    public void flushLater(Channel channel) {
        unflushed.add(channel);
    }

    @Override
    public void flush() {
        unflushed.forEach(Channel::flush);
        unflushed.clear();
    }

    @Override
    public void logFailure(String operation, Throwable cause) {
        failures.add(operation + ": " + cause);
    }

    /** Moves the clock on, and runs what falls due meanwhile at its time. */
    public void advance(double ms) {
        double end = nowMs + ms;
        while (!tasks.isEmpty() && tasks.peek().dueMs <= end) {
            Task task = tasks.poll();
            nowMs = task.dueMs;
            if (task.promise.setUncancellable()) {
                task.action.run();
                task.promise.setSuccess(null);
            }
        }
        nowMs = end;
        flush();
    }

    /** Runs what is due by now. */
    public void runPending() {
        advance(0);
    }

    /** The failures that were logged. */
    public List<String> failures() {
        return failures;
    }
}
