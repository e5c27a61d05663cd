package quotagateway.policy.quota;

import java.util.Random;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;

/**
 * How many calls to the shared counter this gateway may have in flight, as TCP's congestion window (additive increase,
 * multiplicative decrease): the counter serves calls one behind another, and a queue there makes those of all gateways
 * late. A window below 1 is a pause between calls, as one call of every gateway can be too many.
 */
public final class CounterCallWindow {
    /** Calls of all gateways in flight together at first. */
    private static final double INITIAL_CALLS_OF_ALL = 16;
    /** A gateway's connections to the counter hold no more without a queue. */
    private static final double MAX_WINDOW = 32;
    /** The least, as a large tier needs it: pauses are 16 time limits long at the most. */
    private static final double MIN_WINDOW = 1.0 / 16;
    /** A reply within this part of its time limit met no queue: the window grows. */
    private static final double QUICK_PART_OF_TIMEOUT = 1.0 / 4;
    /** One past this part was long in a queue: what is added to it comes too late. */
    private static final double SLOW_PART_OF_TIMEOUT = 1.0 / 2;
    /** Decrease by a slow call. */
    private static final double SLOW_FACTOR = 0.9;
    /** Decrease by a lost call, which stays in the queue though no one waits for it any more. */
    private static final double LOST_FACTOR = 0.7;
    /** Below 1 a quick call adds this part of the window, so that six make up for a lost one. */
    private static final double PAUSED_GROWTH = 1.0 / 16;
    /** And no less than this, as there are few calls to learn from where the pauses are long. */
    private static final double MIN_PAUSED_GROWTH = 1.0 / 64;

    private final PolicySettings settings;
    private final EventClock clock;
    private final TimerQueue timers;
    private final Random random;
    private double window;
    private double pausedUntil;
    private int inFlight;

    public CounterCallWindow(PolicySettings settings, EventClock clock, TimerQueue timers, Random random) {
        this.settings = settings;
        this.clock = clock;
        this.timers = timers;
        this.random = random;
        window = Math.max(1, INITIAL_CALLS_OF_ALL / settings.nodeCount());
    }

    /** The window, which is below 1 where there are pauses between calls. */
    double window() {
        return window;
    }

    /** Whether another call may be made now. */
    boolean hasRoom() {
        return isNotPaused() && inFlight + 1 <= Math.max(1, window);
    }

    /** As {@link #hasRoom}, with one call in flight at the most: to find out whether the counter is back. */
    boolean hasRoomForProbe() {
        return isNotPaused() && inFlight == 0;
    }

    private boolean isNotPaused() {
        return clock.now() >= pausedUntil;
    }

    /** A call is about to be made. */
    void onCall() {
        inFlight++;
        if (window < 1) {
            pause(settings.capabilities().counterTimeout() / window);
        }
    }

    /** A call has ended. */
    void onReply(CallOutcome outcome, double tookMs) {
        inFlight--;
        double timeout = settings.capabilities().counterTimeout();
        if (outcome == CallOutcome.FULL || outcome == CallOutcome.TIMEOUT) {
            window *= LOST_FACTOR;
            // otherwise one call of each gateway is in flight again at once, and the queue never drains
            pause(timeout);
        } else if (outcome == CallOutcome.OK && tookMs > timeout * SLOW_PART_OF_TIMEOUT) {
            window *= SLOW_FACTOR;
        } else if (outcome == CallOutcome.OK && tookMs < timeout * QUICK_PART_OF_TIMEOUT && wasUsedUp()) {
            window += window < 1 ? Math.max(MIN_PAUSED_GROWTH, window * PAUSED_GROWTH) : 1 / window;
        }
        window = Math.max(smallestWindow(), Math.min(MAX_WINDOW, window));
    }

    /** Whether the window had no room for one more call when the one that has just ended was in flight. */
    private boolean wasUsedUp() {
        return inFlight + 2 > window;
    }

    /** A small tier cannot queue at the counter: late calls there come of a slow event loop, or of silence. */
    private double smallestWindow() {
        return Math.max(MIN_WINDOW, Math.min(1, INITIAL_CALLS_OF_ALL / settings.nodeCount()));
    }

    /** No calls for a random time around the mean, so that gateways don't come back together. */
    private void pause(double meanMs) {
        pausedUntil = Math.max(pausedUntil, clock.now() + meanMs * (0.5 + random.nextDouble()));
        timers.scheduleWakeUp(pausedUntil);
    }
}
