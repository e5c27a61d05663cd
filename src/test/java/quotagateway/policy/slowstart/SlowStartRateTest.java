package quotagateway.policy.slowstart;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.ServiceRules;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.testing.PolicyFixtures;
import quotagateway.policy.testing.RecordingActions;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;
import quotagateway.policy.traffic.SendRateLimiter;
import quotagateway.policy.traffic.TrafficMeter;

class SlowStartRateTest {
    private final PolicySettings settings = PolicyFixtures.settings(1);
    private final EventClock clock = new EventClock(0);
    private final TrafficMeter traffic = new TrafficMeter();
    private final FleetSizeEstimator fleetSize = new FleetSizeEstimator();
    private final SendRateLimiter limiter = new SendRateLimiter(
            settings, new LatencyObjectives(800, 800), clock, new TimerQueue(clock, new RecordingActions()), traffic);

    private double sendsPerSecond(ServiceRules rules, double warmupFraction) {
        return 1000 * new SlowStartRate(rules, traffic, limiter, fleetSize).sendsPerMs(warmupFraction);
    }

    private void simulateTraffic(int requestsInPeriod, int sendsInPeriod) {
        for (int period = 0; period < 200; period++) {
            for (int i = 0; i < requestsInPeriod; i++) {
                traffic.onRequest();
            }
            for (int i = 0; i < sendsInPeriod; i++) {
                traffic.onSend(50);
            }
            traffic.endPeriod();
        }
    }

    @Test
    void endpointInSlowStartGetsItsShareOfTheSends() {
        simulateTraffic(10, 10);
        fleetSize.onGrowth(20);
        assertEquals(2 * 0.5, sendsPerSecond(PolicyFixtures.RULES, 0.5), 1e-3, "40 sends per second to 20 endpoints");
    }

    @Test
    void requestsCountAsFarAsTheSendRateAllowsThem() {
        simulateTraffic(10, 10);
        for (int period = 0; period < 20; period++) { // all endpoints are cold: nothing is sent
            traffic.onRequest();
            traffic.endPeriod();
        }
        assertEquals(
                traffic.sendsPerSecond(), sendsPerSecond(PolicyFixtures.RULES, 1), 1e-9, "the send rate is still 0");
        limiter.initializeRate(100);
        assertEquals(traffic.requestsPerSecond() * traffic.sentShare(), sendsPerSecond(PolicyFixtures.RULES, 1), 1e-9);
    }

    @Test
    void halfOfALargerOverloadFactorIsAllowed() {
        simulateTraffic(10, 10);
        ServiceRules rules = new ServiceRules(16, 250, 0.2, 10_000, 6, 2000);
        assertEquals(3 * 40, sendsPerSecond(rules, 1), 1e-2);
    }
}
