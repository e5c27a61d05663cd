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
 * A fleet and what happens to it.
 *
 * @param name of the file that holds its hashes
 * @param seed of all random draws
 * @param seconds how long it runs
 * @param wholeMilliseconds whether the clock moves in whole milliseconds
 * @param nodes how many nodes run
 * @param nodeCount how many nodes the settings name; the others are silent
 * @param endpoints how many endpoints the list has
 * @param zones over how many zones they are spread
 * @param endpointSlots requests that an endpoint serves at once
 * @param endpointQueue requests that it queues
 * @param serviceMs mean time of a request in a slot (ms)
 * @param warmUpMs how long an endpoint is slow after its start (ms)
 * @param requestsPerSecond at each node, before the load curve
 * @param customersPerPlan how many customers each plan has
 * @param counterCallsPerSecond what the shared counter can serve
 * @param counterRoundTripMs the way to it and back (ms)
 * @param faultEveryMs mean time between two faults (ms)
 * @param mustSubscribe whether endpoint lists come on subscription only
 * @param reportsActualUnits whether responses tell the units used
 * @param maxUnits the most units of a request
 * @param requestClasses all classes
 * @param plans all plans
 */
record GoldenScenario(
        String name,
        long seed,
        int seconds,
        boolean wholeMilliseconds,
        int nodes,
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
    private static final RequestClass ONCE =
            new RequestClass("once", Idempotency.NON_IDEMPOTENT, RetryScope.ALL, 800, 2500, 3, 0.1, 0, false);
    private static final RequestClass STREAMED =
            new RequestClass("streamed", Idempotency.IDEMPOTENT, RetryScope.ALL, 1000, 4000, 1, 0.5, 0, true);

    /** Three nodes that share quotas which bind, and every kind of retry rule; times meet on whole milliseconds. */
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
                List.of(IDEMPOTENT, KEY_ANYWHERE, KEY_IN_ZONE, KEY_IN_CELL, ONCE),
                List.of(
                        plan("small", 8, 8, 0, 0),
                        plan("medium", 20, 40, 0, 0),
                        plan("large", 60, 90, 0, 0),
                        plan("unlimited", 0, 0, 0, 0)));
    }

    /** A larger fleet on a counter that is too slow for it, with limits of open requests and hard limits. */
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
                List.of(IDEMPOTENT, KEY_IN_ZONE, ONCE),
                List.of(
                        plan("steady", 120, 200, 0, 0),
                        plan("open", 0, 0, 6, 0),
                        plan("both", 50, 50, 10, 0),
                        plan("capped", 100, 100, 0, 80)));
    }

    /** A list longer than any node uses whole, in parts and on subscription, with rolls and slow start. */
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
     * Endpoints that are nearly always slow, and many more requests than they may get: limits of concurrency stay about
     * one, and events are so dense that one falls between two nearly equal times.
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

    private static QuotaPlan plan(String name, double rate, double burst, int concurrencyLimit, double ceilingRate) {
        return new QuotaPlan(name, rate, burst, concurrencyLimit, 1, 0.3, 0.6, ceilingRate, 2 * ceilingRate, 0);
    }

    /** What the policy of a node is told. */
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
