package quotagateway.transport;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;

/**
 * The one event loop that a node runs on, as its parts see it: a clock, timers, and one flush of all connections a
 * round. All methods but {@link #now()} are called on the loop's own thread.
 */
public interface EventLoopContext {
    /** The node's clock: milliseconds that never run backwards, set once to Unix time at the start. */
    double now();

    /** Runs a task on the loop after a delay (ms, 0 at the least); an exception in it is logged and ends there. */
    Future<?> schedule(double delayMs, Runnable task);

    /** Runs a task on the loop once the current event has been handled; exceptions as with {@link #schedule}. */
    void execute(Runnable task);

    /** Marks a connection as written to: it is flushed at the end of this round. */
    void flushLater(Channel channel);

    /** Flushes all connections that were marked since the last call; the node does so behind each task and read. */
    void flush();

    /**
     * Logs a failure; of a flood of them only the first are logged.
     *
     * @param operation what has failed, in a word or two
     */
    void logFailure(String operation, Throwable cause);
}
