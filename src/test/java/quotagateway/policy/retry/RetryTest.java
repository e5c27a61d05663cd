package quotagateway.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.policy.endpoint.Attempt;
import quotagateway.policy.endpoint.Endpoint;
import quotagateway.policy.endpoint.EndpointRegistry;
import quotagateway.policy.health.ClassLatency;
import quotagateway.policy.slowstart.FleetSizeEstimator;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.testing.PolicyFixtures;
import quotagateway.policy.testing.RecordingActions;
import quotagateway.policy.timer.EventClock;

/** Tests of the retry rules: which requests may be retried, at which endpoints and until when. */
class RetryTest {
    private static final RequestClass IDEMPOTENT = PolicyFixtures.READ;
    private static final RequestClass KEYED_ZONE =
            PolicyFixtures.requestClass(Idempotency.IDEMPOTENCY_KEY, RetryScope.ZONE, 400);
    private static final RequestClass KEYED_CELL =
            PolicyFixtures.requestClass(Idempotency.IDEMPOTENCY_KEY, RetryScope.CELL, 400);
    private static final RequestClass KEYED_ALL =
            PolicyFixtures.requestClass(Idempotency.IDEMPOTENCY_KEY, RetryScope.ALL, 400);
    private static final RequestClass NON_IDEMPOTENT =
            PolicyFixtures.requestClass(Idempotency.NON_IDEMPOTENT, RetryScope.ALL, 0);

    private final IdempotencyRule rule = new IdempotencyRule(4);
    private final RetryPolicy policy = new RetryPolicy(rule, 3, 4);
    private final EndpointRegistry endpoints = new EndpointRegistry(
            PolicyFixtures.settings(1),
            new LatencyObjectives(800, 800),
            new EventClock(0),
            new RecordingActions(),
            new Random(1),
            new FleetSizeEstimator());

    @BeforeEach
    void listEndpoints() {
        List<EndpointDescriptor> list = IntStream.range(0, 6)
                .mapToObj(number -> PolicyFixtures.endpoint(number, EndpointState.UP))
                .toList();
        endpoints.update(list, true);
        endpoints.refresh(true, 0);
    }

    private Endpoint endpoint(int number) {
        return endpoints.find("s" + number);
    }

    /** Returns the history of one attempt at endpoint 0, sent at 100 ms, with this outcome; null for in flight. */
    private AttemptHistory sentOnce(RequestClass requestClass, CallOutcome outcome) {
        AttemptHistory history = new AttemptHistory(requestClass);
        Attempt attempt = endpoint(0).startAttempt(new ClassLatency(requestClass), 100);
        history.add(attempt);
        if (outcome != null) {
            attempt.end(outcome);
        }
        return history;
    }

    @Test
    void attemptsThatProvablyNeverRanRestrictNothing() {
        for (CallOutcome outcome : List.of(CallOutcome.FULL, CallOutcome.NO_CONNECTION, CallOutcome.NOT_SENT)) {
            AttemptHistory history = sentOnce(NON_IDEMPOTENT, outcome);
            assertTrue(rule.mayRetry(history, 5000), outcome.name());
            assertTrue(rule.mayReject(history), outcome.name());
            assertTrue(rule.isInScope(sentOnce(KEYED_CELL, outcome), endpoint(5)));
        }
    }

    @Test
    void nonIdempotentRequestThatMayHaveRunIsNeitherRetriedNorRejected() {
        for (CallOutcome outcome : List.of(CallOutcome.ERROR, CallOutcome.RESET, CallOutcome.TIMEOUT)) {
            AttemptHistory history = sentOnce(NON_IDEMPOTENT, outcome);
            assertFalse(rule.mayRetry(history, 101), outcome.name());
            assertFalse(rule.mayReject(history), outcome.name());
        }
    }

    @Test
    void keyIsValidForItsWindowLessTheMargin() {
        AttemptHistory history = sentOnce(KEYED_ALL, CallOutcome.ERROR);
        assertTrue(rule.mayRetry(history, 100 + 395));
        assertFalse(rule.mayRetry(history, 100 + 396));
        assertTrue(rule.mayRetry(sentOnce(IDEMPOTENT, CallOutcome.ERROR), 1e9));
    }

    @Test
    void keyIsValidOnlyInItsScope() {
        AttemptHistory zone = sentOnce(KEYED_ZONE, CallOutcome.ERROR);
        AttemptHistory cell = sentOnce(KEYED_CELL, CallOutcome.ERROR);
        AttemptHistory all = sentOnce(KEYED_ALL, CallOutcome.ERROR);
        assertTrue(rule.isInScope(cell, endpoint(1)));
        assertFalse(rule.isInScope(cell, endpoint(4)), "another cell of the zone");
        assertTrue(rule.isInScope(zone, endpoint(4)));
        assertFalse(rule.isInScope(zone, endpoint(2)), "the other zone");
        assertTrue(rule.isInScope(all, endpoint(2)));
    }

    @Test
    void requestLimitedToAScopeIsNotRejectedOnceItMayHaveRun() {
        assertFalse(rule.mayReject(sentOnce(KEYED_ZONE, CallOutcome.ERROR)));
        assertTrue(rule.mayReject(sentOnce(KEYED_ALL, CallOutcome.ERROR)));
        assertTrue(rule.mayReject(new AttemptHistory(KEYED_ZONE)));
    }

    @Test
    void denialReasonsAreTimeThenIdempotencyThenAttempts() {
        AttemptHistory once = sentOnce(IDEMPOTENT, CallOutcome.ERROR);
        assertEquals(Optional.empty(), policy.denialReason(once, 900, 2000, 895));
        assertEquals(Optional.of(FailureReason.NO_TIME_TO_REPEAT), policy.denialReason(once, 900, 2000, 900));
        assertEquals(Optional.of(FailureReason.NO_TIME_TO_REPEAT), policy.denialReason(once, 900, 900, 896));
        assertEquals(
                Optional.of(FailureReason.NOT_REPEATABLE),
                policy.denialReason(sentOnce(NON_IDEMPOTENT, CallOutcome.ERROR), 900, 2000, 200));
        for (int i = 0; i < 2; i++) {
            Attempt next = endpoint(1).startAttempt(new ClassLatency(IDEMPOTENT), 200);
            once.add(next);
            next.end(CallOutcome.ERROR);
        }
        assertEquals(Optional.of(FailureReason.ATTEMPTS_USED), policy.denialReason(once, 900, 2000, 300));
    }

    @Test
    void historyShowsWhichAttemptsAreInFlightAndWhereTheyWereSent() {
        AttemptHistory history = sentOnce(IDEMPOTENT, null);
        assertTrue(history.isInFlight(0));
        assertFalse(history.isInFlight(1));
        assertFalse(history.isInFlight(-1));
        assertTrue(history.wasSentTo(endpoint(0)));
        assertFalse(history.wasSentTo(endpoint(1)));
        assertEquals(1, endpoint(0).inFlight());
        history.last().end(CallOutcome.OK);
        assertFalse(history.isInFlight(0));
        assertEquals(0, endpoint(0).inFlight());
    }
}
