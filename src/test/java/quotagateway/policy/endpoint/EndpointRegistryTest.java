package quotagateway.policy.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.health.ClassLatency;
import quotagateway.policy.slowstart.FleetSizeEstimator;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.testing.PolicyFixtures;
import quotagateway.policy.testing.RecordingActions;
import quotagateway.policy.timer.EventClock;

class EndpointRegistryTest {
    private final EventClock clock = new EventClock(100_000);
    private final RecordingActions host = new RecordingActions();
    private final FleetSizeEstimator fleetSize = new FleetSizeEstimator();
    private final EndpointRegistry endpoints = new EndpointRegistry(
            PolicyFixtures.settings(2), new LatencyObjectives(800, 800), clock, host, new Random(1), fleetSize);

    private void applyList(int from, int to, EndpointState state, boolean complete) {
        endpoints.update(
                IntStream.range(from, to)
                        .mapToObj(number -> PolicyFixtures.endpoint(number, state))
                        .toList(),
                complete);
        endpoints.refresh(complete, 0);
    }

    private List<String> members() {
        return endpoints.members().stream().map(Endpoint::id).toList();
    }

    @Test
    void endpointsThatAreUpBecomeMembersAndAreRetained() {
        applyList(0, 3, EndpointState.UP, true);
        assertEquals(List.of("s0", "s1", "s2"), members());
        assertEquals(Set.of("retain s0", "retain s1", "retain s2"), Set.copyOf(host.take()));
        assertEquals(3, fleetSize.estimatedSize());
        applyList(0, 3, EndpointState.UP, true);
        assertEquals(List.of(), host.take(), "nothing has changed");
    }

    @Test
    void drainingEndpointIsReleasedWhenItsAttemptsHaveEnded() {
        applyList(0, 2, EndpointState.UP, true);
        host.take();
        Endpoint draining = endpoints.find("s0");
        Attempt attempt = draining.startAttempt(new ClassLatency(PolicyFixtures.READ), clock.now());
        applyList(0, 1, EndpointState.DRAINING, false);
        assertEquals(List.of("s1"), members());
        assertEquals(List.of(), host.take());
        attempt.end(CallOutcome.OK);
        endpoints.updateMembership(draining);
        assertEquals(List.of("release s0"), host.take());
    }

    @Test
    void completeListWithoutAMemberEndsItsMembership() {
        applyList(0, 3, EndpointState.UP, true);
        applyList(1, 3, EndpointState.UP, true);
        assertEquals(List.of("s1", "s2"), members());
        assertEquals(2, endpoints.size());
        assertEquals("s0", endpoints.find("s0").id(), "the state of a former member is kept");
        assertNull(endpoints.find("s9"));
    }

    @Test
    void endpointThatHasJustStartedIsInSlowStart() {
        endpoints.update(
                List.of(
                        PolicyFixtures.endpoint(0, EndpointState.UP, 99_000),
                        PolicyFixtures.endpoint(1, EndpointState.UP, 1000)),
                true);
        assertFalse(endpoints.find("s0").ramp().isWarm(clock.now()));
        assertTrue(endpoints.find("s1").ramp().isWarm(clock.now()));
    }

    @Test
    void noMoreThanHalfOfTheMembersMayBeEjected() {
        applyList(0, 5, EndpointState.UP, true);
        assertTrue(endpoints.canEjectOneMore());
        endpoints.find("s0").outlierDetector().eject(clock.now());
        assertTrue(endpoints.canEjectOneMore());
        endpoints.find("s1").outlierDetector().eject(clock.now());
        assertFalse(endpoints.canEjectOneMore(), "three of five would be more than half");
    }

    @Test
    void drainingCordonedAndEjectedEndpointsAreUnavailable() {
        applyList(0, 6, EndpointState.UP, true);
        applyList(0, 1, EndpointState.DRAINING, false);
        endpoints.find("s1").outlierDetector().eject(clock.now());
        endpoints.find("s2").setCordoned(true);
        assertEquals(3, endpoints.unavailableCount(clock.now()));
        assertEquals(2, endpoints.unavailableCount(clock.now() + 1000), "no longer ejected");
        assertEquals(4, endpoints.uncordonedUpCount());
    }

    @Test
    void attemptAtANonMemberRetainsItsEndpoint() {
        applyList(0, 2, EndpointState.UP, true);
        host.take();
        endpoints.retainForAttempt(endpoints.find("s1"));
        assertEquals(List.of(), host.take());
        applyList(1, 2, EndpointState.DRAINING, false);
        host.take();
        endpoints.retainForAttempt(endpoints.find("s1"));
        assertEquals(List.of("retain s1"), host.take());
    }

    @Test
    void formerMembersBeyondTheLimitAreEvicted() {
        applyList(0, 300, EndpointState.UP, true);
        applyList(300, 400, EndpointState.UP, true);
        assertEquals(400, endpoints.known().size());
        endpoints.evictFormerMembers();
        assertEquals(100 + 256, endpoints.known().size());
    }
}
