package quotagateway.policy.endpoint;

import java.util.Random;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;

/**
 * Subscribes to endpoint lists, if lists come only on subscription, and subscribes again after failures, with
 * exponential backoff.
 */
public final class DiscoverySubscription {
    /** Mean delay of the second subscription after a first failure. */
    private static final double INITIAL_BACKOFF_MS = 1000;
    /** Upper bound of the mean delay. With its random spread a delay is at most 12 s. */
    private static final double MAX_BACKOFF_MS = 8000;

    private final boolean required;
    private final EventClock clock;
    private final TimerQueue timers;
    private final PolicyActions actions;
    private final Random random;
    private double backoffMs = INITIAL_BACKOFF_MS;

    /** @param required whether lists come only on subscription; if false, this class does nothing */
    public DiscoverySubscription(
            boolean required, EventClock clock, TimerQueue timers, PolicyActions actions, Random random) {
        this.required = required;
        this.clock = clock;
        this.timers = timers;
        this.actions = actions;
        this.random = random;
    }

    public void start() {
        if (required) {
            actions.subscribeToEndpoints();
        }
    }

    /**
     * Schedules another subscription after one has failed or ended. The backoff is never reset, not even when lists
     * arrive.
     */
    public void onFailed() {
        if (required) {
            double delayMs = backoffMs * (0.5 + random.nextDouble()); // spreads the gateways' subscriptions over time
            timers.schedule(clock.now() + delayMs, actions::subscribeToEndpoints);
            backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
        }
    }
}
