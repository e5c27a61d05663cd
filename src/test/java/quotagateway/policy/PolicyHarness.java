package quotagateway.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.Capabilities;
import quotagateway.policy.api.CostWeights;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.policy.api.ServiceRules;

/**
 * A host of one policy for tests, with a fake clock. Records every action as a line of text; timers fire when a test
 * advances the clock.
 */
final class PolicyHarness implements PolicyActions {
    record CounterCall(long name, double total) {}

    record Timer(double at, long token) {}

    final List<String> log = new ArrayList<>();
    final List<Timer> timers = new ArrayList<>();
    /** Counter calls that have no reply yet, with the total that each led to. */
    final List<CounterCall> counterCalls = new ArrayList<>();
    /** The endpoints that the policy retains at present. */
    final Set<String> retained = new TreeSet<>();

    Map<Long, Double> counter = new HashMap<>();
    int gatewayIndex;
    long seed = 7;
    int gatewayCount = 2;
    private double unitsClaimedByOthers;
    private double othersClaimedAt;
    double now;
    Policy policy;
    List<RequestClass> classes = List.of(
            new RequestClass("read", Idempotency.IDEMPOTENT, RetryScope.CELL, 600, 2000, 1, 0, 0, false),
            new RequestClass("all", Idempotency.IDEMPOTENCY_KEY, RetryScope.ALL, 600, 2000, 1, 0, 400, false),
            new RequestClass("zone", Idempotency.IDEMPOTENCY_KEY, RetryScope.ZONE, 600, 2000, 1, 0, 5000, false),
            new RequestClass("cell", Idempotency.IDEMPOTENCY_KEY, RetryScope.CELL, 600, 2000, 1, 0, 5000, false),
            new RequestClass("once", Idempotency.NON_IDEMPOTENT, RetryScope.CELL, 600, 2000, 1, 0, 0, false));
    List<QuotaPlan> plans = List.of(
            new QuotaPlan("rate", 8, 8, 0, 1, 0, 1, 0, 0, 0),
            new QuotaPlan("open", 0, 0, 3, 1, 0, 1, 0, 0, 0),
            new QuotaPlan("big", 1000, 1000, 0, 1, 0, 1, 0, 0, 0),
            new QuotaPlan("ceiling", 100, 100, 0, 1, 0, 1, 4, 8, 0));
    boolean hedging = true;
    boolean sharedCounter = true;
    boolean reportsActualUnits;
    boolean mustSubscribe;
    int maxUnits = 1;

    /** Without a counter the even share of a quota is available immediately: tests of endpoints need no quota. */
    static PolicyHarness withoutCounter() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.sharedCounter = false;
        return gateway;
    }

    PolicyHarness start() {
        policy = new Policy(settings(), seed, now, this);
        return this;
    }

    PolicySettings settings() {
        return new PolicySettings(
                gatewayIndex,
                gatewayCount,
                "a",
                2,
                mustSubscribe,
                reportsActualUnits,
                maxUnits,
                List.of(),
                classes,
                plans,
                new Capabilities(true, true, hedging, true, false, sharedCounter, 5, 2000, 50),
                new ServiceRules(16, 250, 0.2, 15000, 2, 2000),
                new CostWeights(0.05, 0.01, 0.02, 0, 0.03));
    }

    /** Lists endpoints from s0 on: two in each cell, and the cells alternate between zones a and b. */
    PolicyHarness listEndpoints(int count) {
        List<EndpointDescriptor> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(endpoint(i, EndpointState.UP, 0));
        }
        policy.onEndpoints(now, endpoints, true);
        return this;
    }

    static EndpointDescriptor endpoint(int i, EndpointState state, double startedAt) {
        return new EndpointDescriptor("s" + i, i / 2, i / 2 % 2 == 0 ? "a" : "b", state, "k", startedAt, 1, 0);
    }

    /** Adds to every total what other gateways claim at this rate, for the time since the last call. */
    void otherGatewaysClaimPerSecond(double unitsPerSecond) {
        unitsClaimedByOthers = (now - othersClaimedAt) / 1000 * unitsPerSecond;
        othersClaimedAt = now;
        counter.replaceAll((name, sum) -> sum + unitsClaimedByOthers);
    }

    /** Adds units that other gateways have claimed to every total. */
    void otherGatewaysClaim(double units) {
        counter.replaceAll((name, sum) -> sum + units);
    }

    /** Replies to the calls made so far, with the totals at the time of each call. */
    void replyToCounterCalls(CallOutcome outcome) {
        for (int count = counterCalls.size(); count > 0; count--) {
            CounterCall call = counterCalls.remove(0);
            policy.onCounterReply(now, call.name(), outcome, 2, call.total());
        }
    }

    void request(long id, String requestClass, String plan, String customer) {
        request(id, requestClass, plan, customer, 1, 2);
    }

    void request(long id, String requestClass, String plan, String customer, int units, int sharingGateways) {
        policy.onRequest(
                now, new IncomingRequest(id, requestClass, plan, customer, 2000, units, sharingGateways, 0, false));
    }

    void endAttempt(long id, int attempt, CallOutcome outcome) {
        policy.onAttemptEnded(now, id, attempt, outcome, 20, outcome == CallOutcome.OK, 0, new double[0]);
    }

    /** Advances the clock and fires the timers that are due by then. */
    void advanceTo(double time) {
        while (true) {
            Timer next = null;
            for (Timer timer : timers) {
                if (timer.at() <= time && (next == null || timer.at() < next.at())) {
                    next = timer;
                }
            }
            if (next == null) {
                break;
            }
            timers.remove(next);
            now = Math.max(now, next.at());
            policy.onTimer(now, next.token());
        }
        now = time;
    }

    long countActions(String prefix) {
        return log.stream().filter(line -> line.startsWith(prefix)).count();
    }

    /** Returns the endpoint of the last attempt of a request, or null if it has no attempt. */
    String lastEndpointOf(long id) {
        String found = null;
        for (String line : log) {
            if (line.startsWith("send " + id + " ")) {
                found = line.split(" ", 0)[2];
            }
        }
        return found;
    }

    @Override
    public void sendAttempt(long id, String endpoint, double timeoutAt) {
        log.add("send " + id + " " + endpoint);
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        log.add("cancel " + id + " " + attempt);
    }

    @Override
    public void reject(long id, double retryAfterMs) {
        log.add("refuse " + id);
    }

    @Override
    public void fail(long id) {
        log.add("fail " + id);
    }

    @Override
    public void scheduleTimer(double delayMs, long token) {
        timers.add(new Timer(now + delayMs, token));
    }

    @Override
    public void checkHealth(String endpoint) {
        log.add("check " + endpoint);
    }

    @Override
    public void addToCounter(long name, double amount, double ttlMs) {
        log.add("count " + amount);
        counterCalls.add(new CounterCall(name, counter.merge(name, amount, Double::sum)));
    }

    @Override
    public void subscribeToEndpoints() {
        log.add("subscribe");
    }

    @Override
    public void withdrawQueuedAttempts(String endpoint) {
        log.add("withdraw " + endpoint);
    }

    @Override
    public void retainEndpoint(EndpointDescriptor endpoint) {
        log.add("retain " + endpoint.id());
        retained.add(endpoint.id());
    }

    @Override
    public void releaseEndpoint(String endpoint) {
        log.add("release " + endpoint);
        retained.remove(endpoint);
    }
}
