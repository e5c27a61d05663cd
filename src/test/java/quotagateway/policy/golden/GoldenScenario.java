package quotagateway.policy.golden;

import java.util.List;
import quotagateway.policy.api.Capabilities;
import quotagateway.policy.api.CostWeights;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.policy.api.ServiceRules;

/**
 * The parameters of a simulated fleet, its load and its faults.
 *
 * @param name the name of the file that holds its hashes
 * @param seed the seed of all random draws
 * @param seconds how long the scenario runs (virtual seconds)
 * @param wholeMilliseconds whether the clock advances in whole milliseconds
 * @param runningNodes number of nodes that run
 * @param nodeCount number of nodes in the settings; the nodes that do not run are silent
 * @param endpoints number of endpoints in the list
 * @param zones number of zones over which the endpoints are distributed
 * @param endpointSlots requests that an endpoint serves concurrently
 * @param endpointQueue requests that an endpoint queues
 * @param serviceMs mean time of a request in a slot (ms)
 * @param warmUpMs how long an endpoint is slow after its start (ms)
 * @param requestsPerSecond request rate at each node, before the load curve is applied
 * @param customersPerPlan number of customers on each plan
 * @param counterCallsPerSecond calls per second that the shared counter can serve
 * @param counterRoundTripMs network round-trip time to the shared counter (ms)
 * @param faultEveryMs mean time between two faults (ms)
 * @param mustSubscribe whether endpoint lists arrive only after a subscription
 * @param reportsActualUnits whether responses report the units actually used
 * @param maxUnits maximum units of one request
 * @param requestClasses all request classes
 * @param plans all quota plans
 */
record GoldenScenario(
        String name,
        long seed,
        int seconds,
        boolean wholeMilliseconds,
        int runningNodes,
        int nodeCount,
        int endpoints,
        int zones,
        int endpointSlots,
        int endpointQueue,
        double serviceMs,
        double warmUpMs,
        double requestsPerSecond,
        int customersPerPlan,
        double counterCallsPerSecond,
        double counterRoundTripMs,
        double faultEveryMs,
        boolean mustSubscribe,
        boolean reportsActualUnits,
        int maxUnits,
        List<RequestClass> requestClasses,
        List<QuotaPlan> plans) {

    private static final RequestClass IDEMPOTENT =
            new RequestClass("read", Idempotency.IDEMPOTENT, RetryScope.ALL, 400, 1500, 1, 0.2, 0, false);
    private static final RequestClass KEY_ANYWHERE =
            new RequestClass("keyed", Idempotency.IDEMPOTENCY_KEY, RetryScope.ALL, 600, 2000, 2, 0, 700, false);
    private static final RequestClass KEY_IN_ZONE =
            new RequestClass("zonal", Idempotency.IDEMPOTENCY_KEY, RetryScope.ZONE, 500, 2000, 1, 0, 3000, false);
    private static final RequestClass KEY_IN_CELL =
            new RequestClass("cellular", Idempotency.IDEMPOTENCY_KEY, RetryScope.CELL, 500, 2000, 1, 0, 3000, false);
    private static final RequestClass NON_IDEMPOTENT =
            new RequestClass("once", Idempotency.NON_IDEMPOTENT, RetryScope.ALL, 800, 2500, 3, 0.1, 0, false);
    private static final RequestClass STREAMED =
            new RequestClass("streamed", Idempotency.IDEMPOTENT, RetryScope.ALL, 1000, 4000, 1, 0.5, 0, true);

    /** Three nodes that exhaust shared quotas, and every kind of retry rule; events coincide on whole milliseconds. */
    static GoldenScenario sharedQuotas() {
        return new GoldenScenario(
                "shared-quotas",
                11,
                100,
                true,
                3,
                3,
                12,
                2,
                4,
                8,
                20,
                4000,
                150,
                4,
                2000,
                4,
                900,
                false,
                false,
                1,
                List.of(IDEMPOTENT, KEY_ANYWHERE, KEY_IN_ZONE, KEY_IN_CELL, NON_IDEMPOTENT),
                List.of(
                        plan("small", 8, 8, 0, 0),
                        plan("medium", 20, 40, 0, 0),
                        plan("large", 60, 90, 0, 0),
                        plan("unlimited", 0, 0, 0, 0)));
    }

    /** A larger fleet with a counter that is too slow for it, with limits on open requests and hard limits. */
    static GoldenScenario slowCounter() {
        return new GoldenScenario(
                "slow-counter",
                12,
                50,
                false,
                20,
                60,
                30,
                3,
                8,
                8,
                15,
                6000,
                60,
                12,
                300,
                6,
                700,
                false,
                false,
                3,
                List.of(IDEMPOTENT, KEY_IN_ZONE, NON_IDEMPOTENT),
                List.of(
                        plan("steady", 120, 200, 0, 0),
                        plan("open", 0, 0, 6, 0),
                        plan("both", 50, 50, 10, 0),
                        plan("capped", 100, 100, 0, 80)));
    }

    /**
     * A list that is too long for a node to use all of it, sent in parts and on subscription, with rolling restarts and
     * slow start.
     */
    static GoldenScenario longList() {
        return new GoldenScenario(
                "long-list",
                13,
                60,
                false,
                3,
                24,
                600,
                3,
                2,
                4,
                40,
                15_000,
                150,
                5,
                1000,
                5,
                500,
                true,
                true,
                4,
                List.of(IDEMPOTENT, KEY_IN_CELL, KEY_IN_ZONE, STREAMED),
                List.of(plan("metered", 400, 600, 0, 0), plan("free", 0, 0, 0, 0)));
    }

    /**
     * Endpoints that are nearly always slow, and many more requests than may be sent to them: concurrency limits stay
     * near one, and events are so dense that one falls between two nearly equal times.
     */
    static GoldenScenario overload() {
        return new GoldenScenario(
                "overload",
                14,
                25,
                false,
                2,
                2,
                16,
                2,
                8,
                8,
                190,
                15_000,
                3000,
                3,
                2000,
                4,
                700,
                false,
                false,
                1,
                List.of(IDEMPOTENT),
                List.of(plan("free", 0, 0, 0, 0)));
    }

    static List<GoldenScenario> all() {
        return List.of(sharedQuotas(), slowCounter(), longList(), overload());
    }

    private static QuotaPlan plan(String name, double rate, double burst, int concurrencyLimit, double hardLimitRate) {
        return new QuotaPlan(name, rate, burst, concurrencyLimit, 1, 0.3, 0.6, hardLimitRate, 2 * hardLimitRate, 0);
    }

    /** Returns the settings of a node's policy. */
    PolicySettings settings(int nodeIndex) {
        return new PolicySettings(
                nodeIndex,
                nodeCount,
                "zone" + nodeIndex % zones,
                1,
                mustSubscribe,
                reportsActualUnits,
                maxUnits,
                List.of("cpu", "queue"),
                requestClasses,
                plans,
                new Capabilities(true, true, true, true, false, true, 4, 2000, 50),
                new ServiceRules(16, 250, 0.2, warmUpMs, 2, 2000),
                new CostWeights(0.05, 0.01, 0.02, 0.01, 0.03));
    }

    boolean isStreaming(String requestClass) {
        return requestClasses.stream()
                .anyMatch(known -> known.streaming() && known.name().equals(requestClass));
    }
}
