package quotagateway.client;

import quotagateway.transport.EventLoopContext;

/**
 * Measures how long a connection has been open, and since when it has waited for a command to be completed. The wait
 * for the first command begins when the connection opens, the wait for a later command with its first bytes.
 */
final class CommandTimer {
    private static final double NOT_WAITING = Double.MAX_VALUE;

    private final EventLoopContext loop;
    private final double openedAtMs;
    private double waitingSinceMs;

    CommandTimer(EventLoopContext loop) {
        this.loop = loop;
        openedAtMs = loop.now();
        waitingSinceMs = openedAtMs;
    }

    double ageMs() {
        return loop.now() - openedAtMs;
    }

    /** Returns whether the connection was opened before a time (ms of the loop's clock). */
    boolean wasOpenedBefore(double timeMs) {
        return openedAtMs < timeMs;
    }

    /** Returns whether the connection has waited for a command since before a time (ms of the loop's clock). */
    boolean isWaitingSinceBefore(double timeMs) {
        return waitingSinceMs < timeMs;
    }

    /** Ends the wait: a command is complete, and no part of the next one has arrived. */
    void stop() {
        waitingSinceMs = NOT_WAITING;
    }

    /** Starts the wait, unless it has started already: the first bytes of a command have arrived. */
    void startUnlessWaiting() {
        if (waitingSinceMs == NOT_WAITING) {
            waitingSinceMs = loop.now();
        }
    }

    /** Restarts the wait: more of a long command has arrived, or the gateway had paused reading it. */
    void restart() {
        waitingSinceMs = loop.now();
    }
}
