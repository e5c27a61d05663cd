package quotagateway.node;

import io.netty.util.concurrent.Future;
import quotagateway.transport.EventLoopContext;

/**
 * The time by which a request has to have its response, and the timer for it. Times are milliseconds of the loop's
 * clock.
 */
final class ResponseDeadline {
    /** The timer fires this long (ms) after the deadline, so that the deadline has passed by the clock too. */
    private static final double TIMER_MARGIN_MS = 1;

    private final EventLoopContext loop;
    private final double clientTimeoutAtMs;
    private double dueAtMs;
    private Runnable onPassed;
    private Future<?> timer;

    /**
     * @param clientTimeoutAtMs when the client stops waiting
     * @param dueAtMs when the response is due, which leaves it time to reach the client before its timeout
     */
    ResponseDeadline(EventLoopContext loop, double clientTimeoutAtMs, double dueAtMs) {
        this.loop = loop;
        this.clientTimeoutAtMs = clientTimeoutAtMs;
        this.dueAtMs = dueAtMs;
    }

    /** Runs an action once the deadline has passed, unless cancelled before; called once. */
    void start(Runnable onPassed) {
        this.onPassed = onPassed;
        timer = loop.schedule(remainingMs() + TIMER_MARGIN_MS, onPassed);
    }

    /** Moves the deadline to this time, if the deadline is later. */
    void bringForwardTo(double newDueAtMs) {
        if (dueAtMs > newDueAtMs) {
            dueAtMs = newDueAtMs;
            timer.cancel(false);
            timer = loop.schedule(remainingMs() + TIMER_MARGIN_MS, onPassed);
        }
    }

    /** Runs one more action after a grace period (ms), unless cancelled before; called once the deadline has passed. */
    void extend(double graceMs, Runnable onGraceExpired) {
        timer = loop.schedule(graceMs, onGraceExpired);
    }

    /** Cancels the action that is scheduled. */
    void cancel() {
        timer.cancel(false);
    }

    double dueAtMs() {
        return dueAtMs;
    }

    /** Returns the time (ms) until the response is due; negative after that. */
    double remainingMs() {
        return dueAtMs - loop.now();
    }

    boolean hasPassed(double now) {
        return now >= dueAtMs;
    }

    /** Returns the time (ms) since the client stopped waiting; negative while it waits. */
    double msSinceClientTimeout(double now) {
        return now - clientTimeoutAtMs;
    }
}
