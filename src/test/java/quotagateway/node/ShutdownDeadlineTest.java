package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quotagateway.config.SettingsReader;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;

/** The time available for a shutdown, computed from the deadlines of the request classes. */
class ShutdownDeadlineTest {
    private static PolicySettings settings(double... deadlines) {
        PolicySettings none = SettingsReader.read(Map.of());
        List<RequestClass> classes = Arrays.stream(deadlines)
                .mapToObj(d ->
                        new RequestClass("c" + d, Idempotency.IDEMPOTENT, RetryScope.ALL, d / 2, d, 1, 0, 0, false))
                .toList();
        return new PolicySettings(
                none.nodeIndex(),
                none.nodeCount(),
                none.zone(),
                none.timerResolutionMs(),
                none.mustSubscribe(),
                none.reportsActualUnits(),
                none.maxUnits(),
                none.loadFields(),
                classes,
                none.plans(),
                none.capabilities(),
                none.rules(),
                none.costs());
    }

    @Test
    void killFollowsTheLongestDeadline() {
        assertEquals(900, ShutdownDeadline.earliestKillMs(settings(100, 200)));
        assertEquals(3008, ShutdownDeadline.earliestKillMs(settings(2308, 1000)));
    }

    @Test
    void longerDeadlineCountsAsThreeSeconds() {
        assertEquals(3700, ShutdownDeadline.earliestKillMs(settings(4000)));
        assertEquals(3700, ShutdownDeadline.earliestKillMs(settings(10_000, 100)));
    }

    @Test
    void settingsWithoutADeadlineCountAsThreeSeconds() {
        assertEquals(3700, ShutdownDeadline.earliestKillMs(settings()));
        assertEquals(3700, ShutdownDeadline.earliestKillMs(settings(0)));
    }

    @Test
    void responsesAreDueTwoStallsBeforeTheKill() {
        assertEquals(2708, ShutdownDeadline.responsesDueInMs(settings(2308)));
    }
}
