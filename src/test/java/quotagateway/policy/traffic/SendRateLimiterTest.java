package quotagateway.policy.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.testing.PolicyFixtures;
import quotagateway.policy.testing.RecordingActions;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;

class SendRateLimiterTest {
    private final EventClock clock = new EventClock(0);
    private final RecordingActions host = new RecordingActions();
    private final TrafficMeter traffic = new TrafficMeter();
    private final SendRateLimiter limiter = new SendRateLimiter(
            PolicyFixtures.settings(2), new LatencyObjectives(800, 800), clock, new TimerQueue(clock, host), traffic);

    private void recordPeriods(int requests, int periods) {
        for (int period = 0; period < periods; period++) {
            for (int i = 0; i < requests; i++) {
                traffic.onRequest();
            }
            traffic.endPeriod();
        }
    }

    @Test
    void initialRateAllowsTwoAttemptsInFlightAtEachEndpointForAllGatewaysTogether() {
        limiter.initializeRate(10);
        assertEquals(100, limiter.ratePerSecond(), "2 x 10 endpoints / 2 gateways / 100 ms");
    }

    @Test
    void permitsAreRefilledAtTheRateAndWakeThePolicy() {
        limiter.initializeRate(10);
        for (int i = 0; i < 25; i++) {
            assertTrue(limiter.hasPermit(), "permit " + i);
            limiter.onSend();
        }
        assertFalse(limiter.hasPermit());
        assertEquals(List.of("timer 10.0"), host.take());
        assertFalse(limiter.hasPermit());
        assertEquals(List.of(), host.take(), "requested once");
        clock.advanceTo(10);
        assertTrue(limiter.hasPermit());
    }

    @Test
    void lateAttemptsLowerTheRateByThreeStepsAndTimelyResponsesRaiseItByOne() {
        recordPeriods(25, 10); // 100 requests per second: the step is the smallest, 3 %
        limiter.initializeRate(10);
        limiter.onLateAttempt();
        assertEquals(100 * Math.pow(0.97, 3), limiter.ratePerSecond(), 1e-9);
        limiter.onTimelyResponse();
        assertEquals(100 * Math.pow(0.97, 3) + 3, limiter.ratePerSecond(), 1e-9);
    }

    @Test
    void rateStaysBetweenAnEighthAndTwiceTheRequestRate() {
        recordPeriods(25, 10);
        for (int i = 0; i < 200; i++) {
            limiter.onTimelyResponse();
        }
        assertEquals(200, limiter.ratePerSecond(), 1e-9);
        assertTrue(limiter.isAboveDemand());
        for (int i = 0; i < 200; i++) {
            limiter.onLateAttempt();
        }
        assertEquals(12.5, limiter.ratePerSecond(), 1e-9);
        assertFalse(limiter.isAboveDemand());
    }
}
