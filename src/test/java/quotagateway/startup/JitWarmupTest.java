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

/** The warm-up must go the ordinary path to its end: a module that is never answered warms little. */
class JitWarmupTest {
    /** On part of a core, beside others that start: what is not warm by then stays cold. */
    @Test
    void itsTimeIsBounded() throws Exception {
        GatewayConfig config = GatewayConfig.of(Json.read("""
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","name":"n","settings":{"rank":0,"group_size":1,
              "request_classes":[{"name":"r","effect":"read_like","aim":6,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}"""), Map.of());
        double[] now = {0};
        double each = JitWarmup.MAX_TIME_MS / 5;
        JitWarmup.run(
                config.settings(),
                (settings, seed, time, act) -> (PolicyEvents) java.lang.reflect.Proxy.newProxyInstance(
                        getClass().getClassLoader(), new Class<?>[] {PolicyEvents.class}, (self, method, args) -> {
                            now[0] += method.getName().equals("onRequest") ? each : 0;
                            return null;
                        }),
                () -> now[0]);
        assertEquals(JitWarmup.MAX_TIME_MS, now[0]);
    }

    @Test
    void eachClassArrivesAndEnds() throws Exception {
        GatewayConfig config = GatewayConfig.of(Json.read("""
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","name":"n",
             "settings":{"rank":0,"group_size":1,
              "request_classes":[{"name":"r","effect":"read_like","aim":6,"hard_limit":2000},
               {"name":"w","effect":"idempotency_key","aim":6,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}"""), Map.of());
        Set<String> seen = new TreeSet<>();
        int[] ended = {0};
        JitWarmup.run(
                config.settings(),
                (settings, seed, now, act) -> (PolicyEvents) java.lang.reflect.Proxy.newProxyInstance(
                        getClass().getClassLoader(), new Class<?>[] {PolicyEvents.class}, (self, method, args) -> {
                            if (method.getName().equals("onRequest")) {
                                IncomingRequest r = (IncomingRequest) args[1];
                                seen.add(r.requestClass() + " " + r.plan());
                                act.sendAttempt(r.id(), "w0", 0);
                            } else if (method.getName().equals("onAttemptEnded")) {
                                assertEquals(CallOutcome.OK, args[3]);
                                ended[0]++;
                            }
                            return null;
                        }));
        assertEquals(Set.of("r p", "w p"), seen);
        assertTrue(ended[0] >= 36, "most rounds end: " + ended[0]);
        assertTrue(ended[0] <= 40, "after a mass kill clients wait for each: " + ended[0]);
    }
}
