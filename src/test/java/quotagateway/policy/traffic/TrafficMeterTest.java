package quotagateway.policy.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TrafficMeterTest {
    private final TrafficMeter traffic = new TrafficMeter();

    private void recordPeriod(int requests, int sends) {
        for (int i = 0; i < requests; i++) {
            traffic.onRequest();
        }
        for (int i = 0; i < sends; i++) {
            traffic.onSend(50);
        }
        traffic.endPeriod();
    }

    @Test
    void firstPeriodsHaveEqualWeightInTheRequestRate() {
        recordPeriod(10, 0);
        assertEquals(40, traffic.requestsPerSecond());
        recordPeriod(20, 0);
        assertEquals(60, traffic.requestsPerSecond());
    }

    @Test
    void ratesConvergeUnderConstantTraffic() {
        for (int i = 0; i < 300; i++) {
            recordPeriod(10, 5);
        }
        assertEquals(40, traffic.requestsPerSecond(), 1e-6);
        assertEquals(20, traffic.sendsPerSecond(), 1e-6);
        assertEquals(0.5, traffic.sentShare(), 1e-3);
        assertEquals(1, traffic.attemptsInFlight(), 1e-6, "20 sends per second of 50 ms each");
    }

    @Test
    void sentShareIsUnchangedByPeriodsWithoutRequests() {
        double before = traffic.sentShare();
        recordPeriod(0, 0);
        assertEquals(before, traffic.sentShare());
    }

    @Test
    void warmUpEndsAfterFourPeriods() {
        for (int i = 0; i < 4; i++) {
            assertTrue(traffic.isWarmingUp());
            recordPeriod(1, 1);
        }
        assertFalse(traffic.isWarmingUp());
        assertEquals(4, traffic.periods());
    }

    @Test
    void shareOfTheRejectedRequestsIsEventuallySent() {
        TrafficMeter traffic = new TrafficMeter();
        assertEquals(0, traffic.eventuallySentShare(), "nothing has been rejected yet");
        for (int period = 0; period < 1000; period++) {
            for (int i = 0; i < 4; i++) {
                traffic.onRequest();
            }
            traffic.onClientRetry();
            traffic.onRejection();
            traffic.onRejection();
            traffic.onSend(1);
            traffic.onSend(1);
            traffic.endPeriod();
        }
        // half of the rejected requests are retried and half of all requests are sent: 1/4 + 1/16 + 1/64 + ...
        assertEquals(1.0 / 3, traffic.eventuallySentShare(), 1e-3);
    }
}
