package quotagateway.policy.quota;

import java.util.Random;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;

/**
 * Limits how many calls to the shared counter this gateway may have in flight, like TCP's congestion window (additive
 * increase, multiplicative decrease): the counter serves calls sequentially, and a queue there delays the calls of all
 * gateways. A window below 1 means a pause between calls, as even one call per gateway can be too many.
 */
public final class CounterCallWindow {
    /** Initial number of calls in flight of all gateways together. */
    private static final double INITIAL_FLEET_CALLS = 16;
    /** A gateway's connections to the counter carry no more calls without a queue. */
    private static final double MAX_WINDOW = 32;
    /** Lower bound for a large fleet: pauses are at most 16 call timeouts long on average. */
    private static final double MIN_WINDOW = 1.0 / 16;
    /** A reply within this fraction of the call timeout met no queue: the window grows. */
    private static final double QUICK_TIMEOUT_FRACTION = 1.0 / 4;
    /** A reply after this fraction of the call timeout waited long in a queue: further calls would be late. */
    private static final double SLOW_TIMEOUT_FRACTION = 1.0 / 2;
    /** Decrease of the window for a slow call. */
    private static final double SLOW_DECREASE_FACTOR = 0.9;
    /** Decrease of the window for a lost call, which stays in the counter's queue although its caller has given up. */
    private static final double LOST_DECREASE_FACTOR = 0.7;
    /** A quick call adds this fraction of a window below 1, so that six quick calls make up for a lost one. */
    private static final double PACED_GROWTH_FRACTION = 1.0 / 16;
    /** Lower bound of that growth, as long pauses leave few calls to learn from. */
    private static final double MIN_PACED_GROWTH = 1.0 / 64;

    private final PolicySettings settings;
    private final EventClock clock;
    private final TimerQueue timers;
    private final Random random;
    /**
     * Maximum number of calls in flight, except for returns of units, which do not wait. Below 1, calls are made one at
     * a time with pauses in between.
     */
    private double window;

    private double resumeAt;
    private int inFlight;

    public CounterCallWindow(PolicySettings settings, EventClock clock, TimerQueue timers, Random random) {
        this.settings = settings;
        this.clock = clock;
        this.timers = timers;
        this.random = random;
        window = Math.max(1, INITIAL_FLEET_CALLS / settings.nodeCount());
    }

    /** Returns the window, which is below 1 if there are pauses between calls. */
    double window() {
        return window;
    }

    /** Returns whether another call may be made now. */
    boolean hasRoom() {
        return isNotPaused() && inFlight + 1 <= Math.max(1, window);
    }

    /** Like {@link #hasRoom}, but with at most one call in flight, which tests whether the counter responds again. */
    boolean hasRoomForProbe() {
        return isNotPaused() && inFlight == 0;
    }

    private boolean isNotPaused() {
        return clock.now() >= resumeAt;
    }

    /** Records the start of a call, which is in flight until {@link #onReply}. A window below 1 starts a pause. */
    void onCall() {
        inFlight++;
        if (window < 1) {
            pause(settings.capabilities().counterTimeout() / window);
        }
    }

    /**
     * Records the end of a call, including a failed or timed-out call, and adapts the window: a rejected or timed-out
     * call lowers it and starts a pause, a slow successful call lowers it, and a quick successful call raises it if the
     * window was full.
     */
    void onReply(CallOutcome outcome, double tookMs) {
        inFlight--;
        double timeout = settings.capabilities().counterTimeout();
        if (outcome == CallOutcome.FULL || outcome == CallOutcome.TIMEOUT) {
            window *= LOST_DECREASE_FACTOR;
            // without a pause each gateway has a call in flight again immediately, and the queue never drains
            pause(timeout);
        } else if (outcome == CallOutcome.OK && tookMs > timeout * SLOW_TIMEOUT_FRACTION) {
            window *= SLOW_DECREASE_FACTOR;
        } else if (outcome == CallOutcome.OK && tookMs < timeout * QUICK_TIMEOUT_FRACTION && wasFull()) {
            window += window < 1 ? Math.max(MIN_PACED_GROWTH, window * PACED_GROWTH_FRACTION) : 1 / window;
        }
        window = Math.max(minWindow(), Math.min(MAX_WINDOW, window));
    }

    /** Returns whether the window had no room for another call while the call that just ended was in flight. */
    private boolean wasFull() {
        return inFlight + 2 > window;
    }

    /**
     * Returns the lower bound of the window. A small fleet cannot build up a queue at the counter: its calls are late
     * because of a slow event loop or an unresponsive counter.
     */
    private double minWindow() {
        return Math.max(MIN_WINDOW, Math.min(1, INITIAL_FLEET_CALLS / settings.nodeCount()));
    }

    /** Pauses calls for a random time around the mean, so that gateways do not resume together. */
    private void pause(double meanMs) {
        resumeAt = Math.max(resumeAt, clock.now() + meanMs * (0.5 + random.nextDouble()));
        timers.scheduleWakeUp(resumeAt);
    }
}
