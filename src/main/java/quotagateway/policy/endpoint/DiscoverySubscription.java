package quotagateway.policy.endpoint;

import java.util.Random;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;

/** Subscribes to endpoint lists where that is asked for, and again after failures, with exponential backoff. */
public final class DiscoverySubscription {
    /** Mean time to the second subscription after a first failure. */
    private static final double INITIAL_BACKOFF_MS = 1000;
    /** With its spread it is 12 s at the most. */
    private static final double MAX_BACKOFF_MS = 8000;

    private final boolean required;
    private final EventClock clock;
    private final TimerQueue timers;
    private final PolicyActions actions;
    private final Random random;
    private double backoffMs = INITIAL_BACKOFF_MS;

    /** @param required whether lists come only when subscribed to; if not, this does nothing */
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

    /** The subscription has failed or ended. The backoff is never reset: lists that come do not end it. */
    public void onFailed() {
        if (required) {
            double delayMs = backoffMs * (0.5 + random.nextDouble()); // gateways must not all come at once
            timers.schedule(clock.now() + delayMs, actions::subscribeToEndpoints);
            backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
        }
    }
}
