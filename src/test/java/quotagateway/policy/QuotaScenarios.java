package quotagateway.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quotagateway.policy.api.CallOutcome;

/** Courses of events that several tests of quotas share. */
final class QuotaScenarios {
    private static final CallOutcome OK = CallOutcome.OK;

    private QuotaScenarios() {}

    /** Sends a second in the last 4 s of 12 s of far too many requests; others add as told in between. */
    static double sendsPerSecond(PolicyHarness gateway, CallOutcome outcome, double othersPerSecond) {
        gateway.start().listEndpoints(8);
        long before = 0;
        for (int i = 0; i < 600; i++) {
            gateway.advanceTo(i * 20);
            gateway.otherGatewaysClaimPerSecond(othersPerSecond);
            gateway.replyToCounterCalls(outcome);
            if (i == 400) {
                before = gateway.countActions("send");
            }
            gateway.request(i, "read", "rate", "c");
            gateway.replyToCounterCalls(outcome);
            for (int k = Math.max(0, i - 60); k <= i; k++) { // what was sent is answered; else an odd event
                gateway.endAttempt(k, 0, OK);
            }
        }
        return (gateway.countActions("send") - before) / 4.0;
    }

    /** Two gateways at one counter; the arrivals are numbered on. */
    static List<PolicyHarness> twoGateways() {
        Map<Long, Double> counter = new HashMap<>();
        List<PolicyHarness> both = new ArrayList<>();
        for (int n = 0; n < 2; n++) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.counter = counter;
            both.add(gateway.start().listEndpoints(8));
        }
        return both;
    }

    /** So many arrive at a time, and the counter answers as far as it is asked; how many are sent at once. */
    static long sentOfBurst(PolicyHarness gateway, double time, int requests) {
        gateway.advanceTo(time);
        while (!gateway.counterCalls.isEmpty()) {
            gateway.replyToCounterCalls(OK);
        }
        long before = gateway.countActions("send");
        for (int i = 0; i < requests; i++) {
            gateway.request((long) (time * 100 + i), "read", "rate", "c");
        }
        while (!gateway.counterCalls.isEmpty()) {
            gateway.replyToCounterCalls(OK);
        }
        return gateway.countActions("send") - before;
    }
}
