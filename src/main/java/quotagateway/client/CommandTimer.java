package quotagateway.client;

import quotagateway.transport.EventLoopContext;

/**
 * How long a connection has been open, and since when the rest of a command is waited for. The wait for the first
 * command begins when the connection opens, that for a later one with its first bytes.
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

    /** Whether the connection was opened before a time (ms) of the loop's clock. */
    boolean isOpenSinceBefore(double timeMs) {
        return openedAtMs < timeMs;
    }

    /** Whether a command is waited for since before a time (ms) of the loop's clock. */
    boolean isWaitingSinceBefore(double timeMs) {
        return waitingSinceMs < timeMs;
    }

    /** A command is whole, and nothing has come of the next one. */
    void stop() {
        waitingSinceMs = NOT_WAITING;
    }

    /** A command has begun to come. */
    void startUnlessWaiting() {
        if (waitingSinceMs == NOT_WAITING) {
            waitingSinceMs = loop.now();
        }
    }

    /** More of a long command has come, or the gateway is the one that has not read it until now. */
    void restart() {
        waitingSinceMs = loop.now();
    }
}
