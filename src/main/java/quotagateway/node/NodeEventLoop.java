package quotagateway.node;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import quotagateway.log.EventLog;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.Transport;

/**
 * The event loop of a node: one thread that runs the sockets, the timers and the policy. {@link #now()}, {@link
 * #schedule} and {@link #execute} may be called from any thread, the rest on the loop alone.
 */
final class NodeEventLoop implements EventLoopContext {
    /** Failures that are logged in the life of a process: a flood of them would only cost what it reports. */
    private static final int MAX_LOGGED_FAILURES = 200;

    /** The loop ends so soon (ms) where no more tasks come, and is waited for no longer than the second (ms). */
    private static final long QUIET_BEFORE_SHUTDOWN_MS = 0;

    private static final long SHUTDOWN_TIMEOUT_MS = 100;
    private static final long SHUTDOWN_WAIT_MS = 500;

    private final EventLoopGroup group = Transport.newEventLoop();
    private final long startedNanos = System.nanoTime();
    private final double startedMs = System.currentTimeMillis();
    private final Set<Channel> unflushedChannels = new LinkedHashSet<>();
    private final EventLog eventLog;
    private int loggedFailures;

    NodeEventLoop(EventLog eventLog) {
        this.eventLog = eventLog;
    }

    /** For bootstraps: all channels of the node are registered here. */
    EventLoopGroup group() {
        return group;
    }

    /**
     * Milliseconds of the monotonic clock, set to Unix time once, at the start: steps of the wall clock change
     * nothing. As it is near Unix time, an endpoint's start time needs no translation, and the names on the
     * counter, which the policy derives from the time, are the same at all gateways.
     */
    @Override
    public double now() {
        return startedMs + (System.nanoTime() - startedNanos) / 1e6;
    }

    @Override
    public Future<?> schedule(double delayMs, Runnable task) {
        long nanos = Math.max(0, Math.round(delayMs * 1e6));
        return group.schedule(() -> runGuarded(task), nanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void execute(Runnable task) {
        group.execute(() -> runGuarded(task));
    }

    /** Runs a task now, and flushes behind it; an exception in it is logged and ends here. */
    void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logFailure("event", e);
        }
        flush();
    }

    @Override
    public void logFailure(String operation, Throwable cause) {
        if (++loggedFailures > MAX_LOGGED_FAILURES) {
            return;
        }
        StackTraceElement[] stack = cause.getStackTrace();
        System.err.println(operation + ": " + cause + (stack.length > 0 ? " at " + stack[0] : ""));
    }

    @Override
    public void flushLater(Channel channel) {
        unflushedChannels.add(channel);
    }

    /** Writes out what the events of this round have left on the connections, and in the event log. */
    @Override
    public void flush() {
        if (!unflushedChannels.isEmpty()) {
            Channel[] channels = unflushedChannels.toArray(new Channel[0]);
            unflushedChannels.clear();
            for (Channel channel : channels) {
                channel.flush();
            }
        }
        eventLog.flush();
    }

    /** Ends the loop's thread and closes all its channels; called once, from another thread. */
    void shutdown() {
        group.shutdownGracefully(QUIET_BEFORE_SHUTDOWN_MS, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_WAIT_MS);
    }
}
