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
 * #schedule} and {@link #execute} may be called from any thread, the other methods only on the loop.
 */
final class NodeEventLoop implements EventLoopContext {
    /** How many failures a process logs at the most: logging a flood of them would add to the load that it reports. */
    private static final int MAX_LOGGED_FAILURES = 200;

    /** The loop ends once no task has been submitted for this time (ms). */
    private static final long SHUTDOWN_QUIET_PERIOD_MS = 0;

    /** How long (ms) the loop waits for the quiet period at the most. */
    private static final long SHUTDOWN_TIMEOUT_MS = 100;
    /** How long (ms) {@link #shutdown} waits for the loop to end at the most. */
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

    /** The group with which bootstraps register all channels of the node. */
    EventLoopGroup group() {
        return group;
    }

    /**
     * Milliseconds of the monotonic clock, set to Unix time once, at the start, so that steps of the wall clock have no
     * effect. As the clock is close to Unix time, an endpoint's start time needs no conversion, and the counter names
     * that the policy derives from the time are the same at all gateways.
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

    /** Runs a task now and flushes afterwards; an exception in the task is logged and not propagated. */
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

    /** Flushes the connections that were written to in this round, and the event log. */
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
        group.shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MS, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_WAIT_MS);
    }
}
