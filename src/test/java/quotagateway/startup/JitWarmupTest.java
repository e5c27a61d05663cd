package quotagateway.startup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import quotagateway.config.GatewayConfig;
import quotagateway.config.Json;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyEvents;

/**
 * The warm-up has to run the ordinary path of a request to its end: a policy whose attempts get no response warms up
 * little code.
 */
class JitWarmupTest {
    /** On a fraction of a core, alongside other processes that start, the code that is not warm by then stays cold. */
    @Test
    void durationIsBounded() throws Exception {
        GatewayConfig config = GatewayConfig.of(Json.read("""
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","name":"n","settings":{"rank":0,"group_size":1,
              "request_classes":[{"name":"r","effect":"read_like","aim":6,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}"""), Map.of());
        double[] now = {0};
        double roundMs = JitWarmup.MAX_TIME_MS / 5;
        JitWarmup.run(
                config.settings(),
                (settings, seed, time, actions) -> (PolicyEvents) java.lang.reflect.Proxy.newProxyInstance(
                        getClass().getClassLoader(), new Class<?>[] {PolicyEvents.class}, (proxy, method, args) -> {
                            now[0] += method.getName().equals("onRequest") ? roundMs : 0;
                            return null;
                        }),
                () -> now[0]);
        assertEquals(JitWarmup.MAX_TIME_MS, now[0]);
    }

    @Test
    void requestsOfEachClassAreReceivedAndTheirAttemptsEnd() throws Exception {
        GatewayConfig config = GatewayConfig.of(Json.read("""
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","name":"n",
             "settings":{"rank":0,"group_size":1,
              "request_classes":[{"name":"r","effect":"read_like","aim":6,"hard_limit":2000},
               {"name":"w","effect":"idempotency_key","aim":6,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}"""), Map.of());
        Set<String> classesAndPlans = new TreeSet<>();
        int[] endedAttempts = {0};
        JitWarmup.run(
                config.settings(),
                (settings, seed, now, actions) -> (PolicyEvents) java.lang.reflect.Proxy.newProxyInstance(
                        getClass().getClassLoader(), new Class<?>[] {PolicyEvents.class}, (proxy, method, args) -> {
                            if (method.getName().equals("onRequest")) {
                                IncomingRequest request = (IncomingRequest) args[1];
                                classesAndPlans.add(request.requestClass() + " " + request.plan());
                                actions.sendAttempt(request.id(), "w0", 0);
                            } else if (method.getName().equals("onAttemptEnded")) {
                                assertEquals(CallOutcome.OK, args[3]);
                                endedAttempts[0]++;
                            }
                            return null;
                        }));
        assertEquals(Set.of("r p", "w p"), classesAndPlans);
        assertTrue(endedAttempts[0] >= 36, "the attempts of most rounds have to end: " + endedAttempts[0]);
        assertTrue(endedAttempts[0] <= 40, "each round delays a restart after a mass kill: " + endedAttempts[0]);
    }
}
