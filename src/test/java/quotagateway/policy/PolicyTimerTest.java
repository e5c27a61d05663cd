package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;

/** Tests the single timer that the policy keeps armed at its host. */
class PolicyTimerTest {
    private static final CallOutcome OK = CallOutcome.OK;

    @Test
    void supersededTimerArmsNoFurtherOne() {
        PolicyHarness gateway = new PolicyHarness().start().listEndpoints(4);
        for (int i = 0; i < 200; i++) {
            gateway.request(i, "read", "big", "c");
            gateway.endAttempt(i, 0, OK);
            gateway.advanceTo(i * 10);
        }
        gateway.advanceTo(20000);
        assertTrue(gateway.timers.size() <= 2, "armed timers: " + gateway.timers.size());
    }
}
