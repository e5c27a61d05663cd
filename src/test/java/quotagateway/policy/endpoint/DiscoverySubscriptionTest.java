package quotagateway.policy.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import quotagateway.policy.testing.RecordingActions;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;

class DiscoverySubscriptionTest {
    private final EventClock clock = new EventClock(0);
    private final RecordingActions host = new RecordingActions();
    private final TimerQueue timers = new TimerQueue(clock, host);

    private DiscoverySubscription subscription(boolean required) {
        return new DiscoverySubscription(required, clock, timers, host, new Random(1));
    }

    /** Reports a failure and returns the time in ms until the next subscription. */
    private double delayAfterFailure(DiscoverySubscription subscription) {
        double failedAt = clock.now();
        subscription.onFailed();
        while (!host.take().contains("subscribe")) {
            clock.advanceTo(clock.now() + 10);
            timers.runDue();
        }
        return clock.now() - failedAt;
    }

    @Test
    void subscriptionIsRepeatedLaterAfterEachFailure() {
        DiscoverySubscription subscription = subscription(true);
        subscription.start();
        assertEquals(List.of("subscribe"), host.take());
        for (double mean : new double[] {1000, 2000, 4000, 8000, 8000}) {
            double delay = delayAfterFailure(subscription);
            assertTrue(delay >= mean / 2 && delay <= 1.5 * mean + 10, delay + " ms for a mean of " + mean);
        }
    }

    @Test
    void nothingIsSubscribedIfListsComeWithoutASubscription() {
        DiscoverySubscription subscription = subscription(false);
        subscription.start();
        subscription.onFailed();
        clock.advanceTo(60_000);
        timers.runDue();
        assertEquals(List.of(), host.take());
    }
}
