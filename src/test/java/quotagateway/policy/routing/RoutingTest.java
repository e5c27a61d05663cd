package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.policy.endpoint.Attempt;
import quotagateway.policy.endpoint.Endpoint;
import quotagateway.policy.endpoint.EndpointRegistry;
import quotagateway.policy.health.ClassLatency;
import quotagateway.policy.retry.AttemptHistory;
import quotagateway.policy.retry.IdempotencyRule;
import quotagateway.policy.slowstart.FleetSizeEstimator;
import quotagateway.policy.slowstart.SlowStartRate;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.testing.PolicyFixtures;
import quotagateway.policy.testing.RecordingActions;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;
import quotagateway.policy.traffic.SendRateLimiter;
import quotagateway.policy.traffic.TrafficMeter;

/** Tests of the choice of endpoints and of how the outcomes of attempts are recorded. */
class RoutingTest {
    private static final RequestClass KEYED_CELL =
            PolicyFixtures.requestClass(Idempotency.IDEMPOTENCY_KEY, RetryScope.CELL, 5000);

    private final PolicySettings settings = PolicyFixtures.settings(1);
    private final EventClock clock = new EventClock(100_000);
    private final RecordingActions host = new RecordingActions();
    private final LatencyObjectives objectives = new LatencyObjectives(800, 800);
    private final TrafficMeter traffic = new TrafficMeter();
    private final FleetSizeEstimator fleetSize = new FleetSizeEstimator();
    private final SendRateLimiter limiter =
            new SendRateLimiter(settings, objectives, clock, new TimerQueue(clock, host), traffic);
    private final EndpointRegistry endpoints =
            new EndpointRegistry(settings, objectives, clock, host, new Random(1), fleetSize);
    private final EndpointPicker picker = new EndpointPicker(
            endpoints,
            new IdempotencyRule(4),
            new SlowStartRate(settings.rules(), traffic, limiter, fleetSize),
            clock,
            new Random(2));
    private final OutcomeRecorder recorder = new OutcomeRecorder(endpoints, limiter, clock);
    private final ClassLatency read = new ClassLatency(PolicyFixtures.READ);

    @BeforeEach
    void listEndpoints() {
        endpoints.update(
                IntStream.range(0, 4)
                        .mapToObj(number -> PolicyFixtures.endpoint(number, EndpointState.UP))
                        .toList(),
                true);
        endpoints.refresh(true, 0);
        limiter.initializeRate(4);
    }

    private Endpoint endpoint(int number) {
        return endpoints.find("s" + number);
    }

    private Endpoint pick() {
        return picker.pick(new AttemptHistory(PolicyFixtures.READ));
    }

    private void end(Endpoint endpoint, CallOutcome outcome, double tookMs) {
        Attempt attempt = endpoint.startAttempt(read, clock.now());
        attempt.end(outcome);
        recorder.record(endpoint, read, outcome, tookMs);
    }

    @Test
    void endpointWithTheFewestRequestsInFlightIsPicked() {
        for (int number = 0; number < 3; number++) {
            endpoint(number).startAttempt(read, clock.now());
        }
        assertEquals("s3", pick().id());
    }

    @Test
    void slowOrFailingEndpointIsAvoided() {
        for (int i = 0; i < 20; i++) {
            endpoint(0).latency().record(5, clock.now());
            endpoint(1).failures().recordFailure(PolicyFixtures.READ, clock.now());
            endpoint(2).startAttempt(read, clock.now());
        }
        for (int i = 0; i < 20; i++) {
            assertEquals("s3", pick().id());
        }
    }

    @Test
    void endpointOfAnEarlierAttemptIsAvoidedIfThereAreOthers() {
        AttemptHistory history = new AttemptHistory(PolicyFixtures.READ);
        Attempt attempt = endpoint(0).startAttempt(read, clock.now());
        history.add(attempt);
        attempt.end(CallOutcome.ERROR);
        for (int i = 0; i < 20; i++) {
            assertNotEquals("s0", picker.pick(history).id());
        }
    }

    @Test
    void ejectedEndpointsGetNoRequests() {
        for (int number = 0; number < 4; number++) {
            endpoint(number).outlierDetector().eject(clock.now());
        }
        assertNull(pick());
        clock.advanceTo(clock.now() + 500);
        assertTrue(endpoints.members().contains(pick()));
    }

    @Test
    void uncordonedEndpointGetsItsFirstRequestWhenItIsDue() {
        endpoint(2).ramp().start(clock.now());
        endpoint(2).slowStartBudget().restart(0, clock.now());
        endpoint(2).ramp().expectFirstRequestAt(clock.now() + 100);
        assertNotEquals("s2", pick().id());
        clock.advanceTo(clock.now() + 100);
        assertEquals("s2", pick().id());
    }

    @Test
    void retryLimitedToACellStaysInIt() {
        AttemptHistory history = new AttemptHistory(KEYED_CELL);
        Attempt attempt = endpoint(0).startAttempt(new ClassLatency(KEYED_CELL), clock.now());
        history.add(attempt);
        attempt.end(CallOutcome.ERROR);
        assertEquals("s1", picker.pick(history).id());
    }

    @Test
    void threeResetsInARowEjectAnEndpoint() {
        end(endpoint(0), CallOutcome.RESET, 5);
        end(endpoint(0), CallOutcome.RESET, 5);
        assertFalse(endpoint(0).isEjected(clock.now()));
        end(endpoint(0), CallOutcome.RESET, 5);
        assertTrue(endpoint(0).isEjected(clock.now()));
    }

    @Test
    void atMostHalfOfTheFleetIsEjected() {
        for (int number = 0; number < 4; number++) {
            for (int i = 0; i < 5; i++) {
                end(endpoint(number), CallOutcome.NO_CONNECTION, 1);
            }
        }
        assertEquals(
                2,
                endpoints.members().stream()
                        .filter(member -> member.isEjected(clock.now()))
                        .count());
    }

    @Test
    void errorsCountAgainstTheClassButDoNotEject() {
        for (int i = 0; i < 10; i++) {
            end(endpoint(0), CallOutcome.ERROR, 5);
        }
        assertFalse(endpoint(0).isEjected(clock.now()));
        assertTrue(endpoint(0).failures().failureShare(PolicyFixtures.READ, clock.now()) > 0.9);
    }

    @Test
    void cancelledAndUnsentAttemptsChangeNoEstimate() {
        end(endpoint(0), CallOutcome.CANCELLED, 5000);
        end(endpoint(0), CallOutcome.NOT_SENT, 5000);
        assertEquals(1, endpoint(0).slowness(clock.now()));
        assertEquals(0, endpoint(0).failures().failureShare(PolicyFixtures.READ, clock.now()));
        assertEquals(100, read.meanMs());
    }

    @Test
    void endpointThatWasUnreachableOnTrialEntersSlowStartOnceItResponds() {
        for (int i = 0; i < 2; i++) {
            end(endpoint(0), CallOutcome.NO_CONNECTION, 1);
        }
        clock.advanceTo(clock.now() + 500);
        end(endpoint(0), CallOutcome.NO_CONNECTION, 1);
        clock.advanceTo(clock.now() + 1000);
        assertTrue(endpoint(0).ramp().isWarm(clock.now()));
        end(endpoint(0), CallOutcome.OK, 50);
        assertFalse(endpoint(0).ramp().isWarm(clock.now()));
    }

    @Test
    void timelyResponsesRaiseTheSendRate() {
        for (int period = 0; period < 4; period++) {
            traffic.onRequest();
            traffic.endPeriod();
        }
        double before = limiter.ratePerSecond();
        end(endpoint(0), CallOutcome.OK, 401); // more than half of the objective
        assertEquals(before, limiter.ratePerSecond());
        end(endpoint(0), CallOutcome.OK, 400);
        assertNotEquals(before, limiter.ratePerSecond());
    }
}
