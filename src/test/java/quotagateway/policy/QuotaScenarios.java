package quotagateway.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quotagateway.policy.api.CallOutcome;

/** Scenarios that several tests of quotas share. */
final class QuotaScenarios {
    private static final CallOutcome OK = CallOutcome.OK;

    private QuotaScenarios() {}

    /**
     * Returns the sends per second in the last 4 s of 12 s of requests far beyond the quota, while other gateways take
     * units at the given rate.
     */
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
            for (int k = Math.max(0, i - 60); k <= i; k++) { // answers what was sent; else a spurious event
                gateway.endAttempt(k, 0, OK);
            }
        }
        return (gateway.countActions("send") - before) / 4.0;
    }

    /** Returns two gateways that share a counter. */
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

    /**
     * Submits this number of requests at the given time, answers all counter calls, and returns how many requests are
     * sent immediately. Request ids increase with the time.
     */
    static long submitBurst(PolicyHarness gateway, double time, int requests) {
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
