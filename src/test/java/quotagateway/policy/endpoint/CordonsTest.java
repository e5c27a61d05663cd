package quotagateway.policy.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.slowstart.FleetSizeEstimator;
import quotagateway.policy.slowstart.SlowStartRate;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.testing.PolicyFixtures;
import quotagateway.policy.testing.RecordingActions;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.TimerQueue;
import quotagateway.policy.traffic.SendRateLimiter;
import quotagateway.policy.traffic.TrafficMeter;

class CordonsTest {
    private final PolicySettings settings = PolicyFixtures.settings(2);
    private final EventClock clock = new EventClock(100_000);
    private final RecordingActions host = new RecordingActions();
    private final LatencyObjectives objectives = new LatencyObjectives(800, 800);
    private final FleetSizeEstimator fleetSize = new FleetSizeEstimator();
    private final TimerQueue timers = new TimerQueue(clock, host);
    private final TrafficMeter traffic = new TrafficMeter();
    private final EndpointRegistry endpoints =
            new EndpointRegistry(settings, objectives, clock, host, new Random(1), fleetSize);
    private final SendRateLimiter limiter = new SendRateLimiter(settings, objectives, clock, timers, traffic);
    private final Cordons cordons = new Cordons(
            settings,
            endpoints,
            new SlowStartRate(settings.rules(), traffic, limiter, fleetSize),
            clock,
            timers,
            host,
            new Random(2));

    @BeforeEach
    void listEndpoints() {
        endpoints.update(
                IntStream.range(0, 3)
                        .mapToObj(number -> PolicyFixtures.endpoint(number, EndpointState.UP))
                        .toList(),
                true);
        endpoints.refresh(true, 0);
        limiter.initializeRate(3);
        host.take();
    }

    @Test
    void cordonedEndpointIsNotAMemberAndItsQueuedAttemptsAreWithdrawn() {
        assertTrue(cordons.setCordoned("s1", true));
        assertEquals(List.of("release s1", "withdraw s1"), host.take());
        assertFalse(endpoints.members().contains(endpoints.find("s1")));
        assertTrue(cordons.setCordoned("s1", true));
        assertEquals(List.of(), host.take(), "already cordoned");
    }

    @Test
    void uncordonedEndpointIsInSlowStartWithAFirstRequestDueSoon() {
        cordons.setCordoned("s1", true);
        cordons.setCordoned("s1", false);
        Endpoint endpoint = endpoints.find("s1");
        assertTrue(endpoints.members().contains(endpoint));
        assertFalse(endpoint.ramp().isWarm(clock.now()));
        assertFalse(endpoint.ramp().isFirstRequestDue(clock.now() + 299));
        assertTrue(endpoint.ramp().isFirstRequestDue(clock.now() + 3500));
    }

    @Test
    void unlistedEndpointIsUnknownUnlessItWasCordoned() {
        assertFalse(cordons.setCordoned("s9", true));
        cordons.replace(Set.of("s9"));
        assertTrue(cordons.setCordoned("s9", false));
        assertFalse(cordons.setCordoned("s9", false), "it is still not listed");
    }

    @Test
    void replacingCordonsUncordonsAllOtherEndpoints() {
        cordons.setCordoned("s0", true);
        cordons.replace(Set.of("s1", "s2"));
        assertFalse(endpoints.find("s0").isCordoned());
        assertTrue(endpoints.find("s1").isCordoned());
        assertTrue(endpoints.find("s2").isCordoned());
    }
}
