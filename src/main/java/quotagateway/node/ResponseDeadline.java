package quotagateway.node;

import io.netty.util.concurrent.Future;
import quotagateway.transport.EventLoopContext;

/**
 * By when a request has to have its response, and the timer that waits for that moment. Times are milliseconds of
 * the loop's clock.
 */
final class ResponseDeadline {
    /** The timer is set so long (ms) behind the deadline, so that it has passed by the clock too when it runs. */
    private static final double TIMER_MARGIN_MS = 1;

    private final EventLoopContext loop;
    private final double clientTimeoutAtMs;
    private double dueAtMs;
    private Runnable onPassed;
    private Future<?> timer;

    /**
     * @param clientTimeoutAtMs when the client stops waiting
     * @param dueAtMs when the response is due, earlier than that by its way back
     */
    ResponseDeadline(EventLoopContext loop, double clientTimeoutAtMs, double dueAtMs) {
        this.loop = loop;
        this.clientTimeoutAtMs = clientTimeoutAtMs;
        this.dueAtMs = dueAtMs;
    }

    /** Runs an action once the deadline has passed, unless it is cancelled before; called once. */
    void start(Runnable onPassed) {
        this.onPassed = onPassed;
        timer = loop.schedule(remainingMs() + TIMER_MARGIN_MS, onPassed);
    }

    /** Makes the response due at this time, where it was due later. */
    void bringForwardTo(double newDueAtMs) {
        if (dueAtMs > newDueAtMs) {
            dueAtMs = newDueAtMs;
            timer.cancel(false);
            timer = loop.schedule(remainingMs() + TIMER_MARGIN_MS, onPassed);
        }
    }

    /** Behind the deadline: runs one more action after a grace (ms), unless it is cancelled before. */
    void extend(double graceMs, Runnable onGraceOver) {
        timer = loop.schedule(graceMs, onGraceOver);
    }

    /** Runs none of the actions any more. */
    void cancel() {
        timer.cancel(false);
    }

    double dueAtMs() {
        return dueAtMs;
    }

    /** How long (ms) there is until the response is due; negative once that has passed. */
    double remainingMs() {
        return dueAtMs - loop.now();
    }

    boolean hasPassed(double now) {
        return now >= dueAtMs;
    }

    /** How long (ms) the client has stopped waiting; negative while it waits. */
    double clientTimedOutForMs(double now) {
        return now - clientTimeoutAtMs;
    }
}
