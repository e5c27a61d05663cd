package quotagateway.node;

import io.netty.util.concurrent.Future;
import java.util.function.DoubleSupplier;
import quotagateway.transport.EventLoopContext;

/**
 * The time by which a request has to have its response, and the timer for it. A client's timeout starts when the last
 * byte of its request arrives. While that has not arrived the deadline moves on: it is the time at which a response
 * would be due if the last byte had arrived at the earliest time that cannot be excluded. Times are milliseconds of the
 * loop's clock.
 */
final class ResponseDeadline {
    /** The timer fires this long (ms) after the deadline, so that the deadline has passed by the clock too. */
    private static final double TIMER_MARGIN_MS = 1;
    /** Time (ms) that every request has at least. */
    private static final double MIN_RESPONSE_TIME_MS = 1;

    private final EventLoopContext loop;
    private final DoubleSupplier lastByteAtMs;
    private final double clientTimeoutMs;
    private final double responseMarginMs;
    private final double earliestDueAtMs;
    private double latestDueAtMs;
    private Runnable onPassed;
    private Future<?> timer;

    /**
     * @param lastByteAtMs when the last byte of the request arrived, at the earliest; may only move on
     * @param clientTimeoutMs how long from then (ms) the client waits
     * @param responseMarginMs time (ms) that is left to a response to reach the client before its timeout
     * @param latestDueAtMs when the response is due at the latest, whatever the client's timeout
     */
    ResponseDeadline(
            EventLoopContext loop,
            DoubleSupplier lastByteAtMs,
            double clientTimeoutMs,
            double responseMarginMs,
            double latestDueAtMs) {
        this.loop = loop;
        this.lastByteAtMs = lastByteAtMs;
        this.clientTimeoutMs = clientTimeoutMs;
        this.responseMarginMs = responseMarginMs;
        this.latestDueAtMs = latestDueAtMs;
        earliestDueAtMs = loop.now() + MIN_RESPONSE_TIME_MS;
    }

    /** Runs an action once the deadline has passed, unless cancelled before; called once. */
    void start(Runnable onPassed) {
        this.onPassed = onPassed;
        scheduleCheck();
    }

    private void scheduleCheck() {
        timer = loop.schedule(remainingMs() + TIMER_MARGIN_MS, this::check);
    }

    private void check() {
        if (hasPassed(loop.now())) {
            onPassed.run();
        } else {
            scheduleCheck(); // more of the request has arrived meanwhile
        }
    }

    /** Moves the deadline to this time, if the deadline is, or will be, later. */
    void bringForwardTo(double newDueAtMs) {
        boolean later = dueAtMs() > newDueAtMs;
        latestDueAtMs = Math.min(latestDueAtMs, newDueAtMs);
        if (later) {
            timer.cancel(false);
            scheduleCheck();
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

    /** Returns when the response is due, or would be if the last byte arrived now. */
    double dueAtMs() {
        double dueAtMs = lastByteAtMs.getAsDouble() + clientTimeoutMs - responseMarginMs;
        return Math.max(earliestDueAtMs, Math.min(dueAtMs, latestDueAtMs));
    }

    /** Returns the time (ms) since the last byte of the request arrived; 0 before that. */
    double elapsedMs() {
        return loop.now() - lastByteAtMs.getAsDouble();
    }

    /** Returns the time (ms) until the response is due; negative after that. */
    double remainingMs() {
        return dueAtMs() - loop.now();
    }

    boolean hasPassed(double now) {
        return now >= dueAtMs();
    }

    /** Returns the time (ms) since the client stopped waiting; negative while it waits. */
    double msSinceClientTimeout(double now) {
        return now - (lastByteAtMs.getAsDouble() + clientTimeoutMs);
    }
}
