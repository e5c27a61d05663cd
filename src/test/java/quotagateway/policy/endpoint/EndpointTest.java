package quotagateway.policy.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.health.ClassLatency;
import quotagateway.policy.testing.PolicyFixtures;

class EndpointTest {
    private final Endpoint endpoint = new Endpoint("s0", PolicyFixtures.RULES, 800);
    private final ClassLatency read = new ClassLatency(PolicyFixtures.READ); // initial mean of 100 ms

    @Test
    void laterStartTimeInTheListMeansARestart() {
        assertFalse(
                endpoint.updateDescriptor(PolicyFixtures.endpoint(0, EndpointState.UP, 100)), "the first descriptor");
        assertFalse(endpoint.updateDescriptor(PolicyFixtures.endpoint(0, EndpointState.DRAINING, 100)));
        assertTrue(endpoint.updateDescriptor(PolicyFixtures.endpoint(0, EndpointState.UP, 200)));
    }

    @Test
    void attemptIsInFlightUntilItEnds() {
        Attempt attempt = endpoint.startAttempt(read, 0);
        assertEquals(1, endpoint.inFlight());
        assertTrue(attempt.isInFlight());
        assertTrue(attempt.mayHaveRun());
        attempt.end(CallOutcome.FULL);
        assertEquals(0, endpoint.inFlight());
        assertFalse(attempt.isInFlight());
        assertFalse(attempt.mayHaveRun());
    }

    @Test
    void oldestAttemptInFlightShowsSlownessBeforeItEnds() {
        Attempt oldest = endpoint.startAttempt(read, 0);
        endpoint.startAttempt(read, 900);
        assertEquals(1, endpoint.slowness(100));
        assertEquals(5, endpoint.slowness(1000));
        oldest.end(CallOutcome.OK);
        assertEquals(1, endpoint.slowness(1000));
    }

    @Test
    void endpointOnProbationHasCapacityForOneAttempt() {
        endpoint.outlierDetector().eject(0);
        assertTrue(endpoint.hasCapacity(1000));
        endpoint.startAttempt(read, 1000);
        assertFalse(endpoint.hasCapacity(1000));
        endpoint.outlierDetector().recordSuccess();
        assertTrue(endpoint.hasCapacity(1000));
    }

    @Test
    void newProcessStartsWithoutLearnedState() {
        endpoint.latency().record(10, 0);
        endpoint.failures().recordFailure(PolicyFixtures.READ, 0);
        endpoint.outlierDetector().eject(0);
        endpoint.resetLearnedState();
        assertEquals(1, endpoint.slowness(0));
        assertEquals(0, endpoint.failures().failureShare(PolicyFixtures.READ, 0));
        assertFalse(endpoint.isEjected(0));
    }

    @Test
    void slowStartGrantsARandomInitialCreditOnce() {
        endpoint.startSlowStart(0, 0, new Random(1));
        assertFalse(endpoint.ramp().isWarm(0));
        assertFalse(endpoint.slowStartBudget().allowsSend(0, 0), "less than one send");
        Random unusedRandom = new Random(2);
        endpoint.startSlowStart(10, 10, unusedRandom);
        assertEquals(new Random(2).nextDouble(), unusedRandom.nextDouble(), "already in slow start");
    }
}
