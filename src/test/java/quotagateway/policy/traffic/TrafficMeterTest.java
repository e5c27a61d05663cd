package quotagateway.policy.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TrafficMeterTest {
    private final TrafficMeter traffic = new TrafficMeter();

    private void period(int requests, int sends) {
        for (int i = 0; i < requests; i++) {
            traffic.onRequest();
        }
        for (int i = 0; i < sends; i++) {
            traffic.onSend(50);
        }
        traffic.endPeriod();
    }

    @Test
    void firstPeriodsCountEvenlyInTheRequestRate() {
        period(10, 0);
        assertEquals(40, traffic.requestsPerSecond());
        period(20, 0);
        assertEquals(60, traffic.requestsPerSecond());
    }

    @Test
    void ratesComeToWhatEveryPeriodHas() {
        for (int i = 0; i < 300; i++) {
            period(10, 5);
        }
        assertEquals(40, traffic.requestsPerSecond(), 1e-6);
        assertEquals(20, traffic.sendsPerSecond(), 1e-6);
        assertEquals(0.5, traffic.sentShare(), 1e-3);
        assertEquals(1, traffic.attemptsInFlight(), 1e-6, "20 a second of 50 ms each");
    }

    @Test
    void sentShareIsNotMovedByPeriodsWithoutRequests() {
        double before = traffic.sentShare();
        period(0, 0);
        assertEquals(before, traffic.sentShare());
    }

    @Test
    void warmUpEndsAfterASecond() {
        for (int i = 0; i < 4; i++) {
            assertTrue(traffic.isWarmingUp());
            period(1, 1);
        }
        assertFalse(traffic.isWarmingUp());
        assertEquals(4, traffic.periods());
    }

    @Test
    void partOfTheRejectedRequestsIsSentLater() {
        TrafficMeter traffic = new TrafficMeter();
        assertEquals(0, traffic.sentLaterShare(), "nothing was rejected yet");
        for (int period = 0; period < 1000; period++) {
            for (int i = 0; i < 4; i++) {
                traffic.onRequest();
            }
            traffic.onRepeat();
            traffic.onRejection();
            traffic.onRejection();
            traffic.onSend(1);
            traffic.onSend(1);
            traffic.endPeriod();
        }
        // half of the rejected come again and half of all are sent: 1/4 + 1/16 + 1/64 + ...
        assertEquals(1.0 / 3, traffic.sentLaterShare(), 1e-3);
    }
}
