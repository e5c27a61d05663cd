package quotagateway.policy.testing;

import java.util.List;
import quotagateway.policy.api.Capabilities;
import quotagateway.policy.api.CostWeights;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.policy.api.ServiceRules;

/** Settings, classes, plans and endpoints shared by the tests of single modules. */
public final class PolicyFixtures {
    /** Slow start from a fifth of the capacity over 10 s; overload at twice the capacity over 2 s. */
    public static final ServiceRules RULES = new ServiceRules(16, 250, 0.2, 10_000, 2, 2000);

    public static final RequestClass READ =
            new RequestClass("read", Idempotency.IDEMPOTENT, RetryScope.ALL, 800, 2000, 1, 0, 0, false);
    /** 8 units per second, burst 8. */
    public static final QuotaPlan RATE_PLAN = new QuotaPlan("rate", 8, 8, 0, 1, 0, 1, 0, 0, 0);

    private PolicyFixtures() {}

    /** Returns the settings of gateway 0, with a timer resolution of 2 ms and a counter timeout of 50 ms. */
    public static PolicySettings settings(int gateways) {
        return settings(0, gateways, true);
    }

    public static PolicySettings settings(int index, int gateways, boolean sharedCounter) {
        return new PolicySettings(
                index,
                gateways,
                "a",
                2,
                false,
                true,
                1,
                List.of(),
                List.of(READ),
                List.of(RATE_PLAN),
                new Capabilities(true, true, true, true, false, sharedCounter, 5, 2000, 50),
                RULES,
                new CostWeights(0.05, 0.01, 0.02, 0, 0.03));
    }

    public static RequestClass requestClass(Idempotency idempotency, RetryScope scope, double windowMs) {
        return new RequestClass("class", idempotency, scope, 800, 2000, 1, 0, windowMs, false);
    }

    /** Returns an endpoint that started long ago; a cell has two endpoints, and every other cell is in zone a. */
    public static EndpointDescriptor endpoint(int number, EndpointState state) {
        return endpoint(number, state, 0);
    }

    public static EndpointDescriptor endpoint(int number, EndpointState state, double startedAt) {
        int cell = number / 2;
        return new EndpointDescriptor("s" + number, cell, cell % 2 == 0 ? "a" : "b", state, "k", startedAt, 1, number);
    }
}
