package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;

/** Tests that a cordoned endpoint gets no attempts until it is uncordoned, whatever the endpoint list says. */
class CordonTest {
    private static void sendRequests(PolicyHarness gateway, int from, int to) {
        for (int id = from; id < to; id++) {
            gateway.request(id, "read", "big", "c");
            gateway.advanceTo(gateway.now + 10);
            for (String line : List.copyOf(gateway.log)) { // including requests that waited
                if (line.startsWith("send ")) {
                    gateway.endAttempt(Long.parseLong(line.split(" ", 0)[1]), 0, CallOutcome.OK);
                    gateway.log.set(gateway.log.indexOf(line), "sent" + line.substring("send".length()));
                }
            }
        }
    }

    private static long sendCount(PolicyHarness gateway, String endpoint) {
        return gateway.log.stream()
                .filter(line -> line.startsWith("sen") && line.endsWith(" " + endpoint))
                .count();
    }

    @Test
    void cordonedEndpointGetsNoAttemptsRegardlessOfTheList() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(3);
        sendRequests(gateway, 10_000, 10_100);
        assertTrue(sendCount(gateway, "s1") > 0);
        assertTrue(gateway.policy.setCordoned(gateway.now, "s1", true));
        assertTrue(gateway.policy.setCordoned(gateway.now, "s1", true), "repeating a cordon has no effect");
        assertEquals(1, gateway.countActions("withdraw s1"));
        long before = sendCount(gateway, "s1");
        sendRequests(gateway, 30, 60);
        gateway.policy.onEndpoints(gateway.now, List.of(PolicyHarness.endpoint(1, EndpointState.REMOVED, 0)), false);
        sendRequests(gateway, 60, 70);
        gateway.policy.onEndpoints(
                gateway.now, List.of(PolicyHarness.endpoint(1, EndpointState.UP, gateway.now)), false); // restarted
        gateway.listEndpoints(3);
        sendRequests(gateway, 70, 100);
        assertEquals(before, sendCount(gateway, "s1"));
        assertEquals(1, gateway.policy.unavailableEndpointCount(gateway.now));
    }

    /** A retry selects its endpoint anew and must not select a cordoned one either. */
    @Test
    void retryDoesNotGoToACordonedEndpoint() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(2);
        gateway.request(1, "read", "big", "c");
        String first = gateway.lastEndpointOf(1);
        gateway.policy.setCordoned(gateway.now, first.equals("s0") ? "s1" : "s0", true);
        gateway.endAttempt(1, 0, CallOutcome.ERROR);
        gateway.advanceTo(gateway.now + 100);
        assertEquals(0, sendCount(gateway, first.equals("s0") ? "s1" : "s0"));
    }

    @Test
    void unlistedEndpointIsUnknown() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(2);
        assertFalse(gateway.policy.setCordoned(gateway.now, "s9", true));
        assertFalse(gateway.policy.setCordoned(gateway.now, "s9", false));
        assertTrue(
                gateway.policy.setCordoned(gateway.now, "s1", false),
                "uncordoning an endpoint that is not cordoned succeeds");
        gateway.policy.onEndpoints(gateway.now, List.of(PolicyHarness.endpoint(1, EndpointState.REMOVED, 0)), false);
        assertTrue(gateway.policy.setCordoned(gateway.now, "s1", true), "the endpoint was listed before");
    }

    /**
     * While queues are short, the other endpoints are always faster than one in slow start, so that it would get no
     * requests.
     */
    @Test
    void uncordonedEndpointIsUsedWithinFiveSecondsAndInSlowStart() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(3);
        sendRequests(gateway, 0, 300);
        gateway.policy.setCordoned(gateway.now, "s1", true);
        sendRequests(gateway, 300, 400);
        long before = sendCount(gateway, "s1");
        double uncordonedAt = gateway.now;
        gateway.policy.setCordoned(gateway.now, "s1", false);
        gateway.policy.setCordoned(gateway.now, "s1", false);
        int id = 400;
        for (; gateway.now < uncordonedAt + 1000; id++) {
            sendRequests(gateway, id, id + 1);
        }
        assertTrue(sendCount(gateway, "s1") <= before + 12, "a warm endpoint gets 33 in a second");
        for (; gateway.now < uncordonedAt + 4000; id++) {
            sendRequests(gateway, id, id + 1);
        }
        assertTrue(sendCount(gateway, "s1") > before);
        assertEquals(0, gateway.policy.unavailableEndpointCount(gateway.now));
    }

    /** With few requests, the budget of an endpoint in slow start does not accrue in time. */
    @Test
    void uncordonedEndpointIsAlsoUsedWithFewRequests() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(12);
        gateway.policy.setCordoned(gateway.now, "s1", true);
        gateway.policy.setCordoned(gateway.now, "s1", false);
        for (int id = 0; id < 9; id++) {
            gateway.advanceTo(gateway.now + 500);
            gateway.request(id, "read", "big", "c");
            gateway.endAttempt(id, 0, CallOutcome.OK);
        }
        assertTrue(sendCount(gateway, "s1") > 0);
    }

    /** Stored cordons are in effect from the start, before a list has named the endpoint, until they are removed. */
    @Test
    void storedCordonsHoldFromTheStart() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start();
        gateway.policy.replaceCordons(gateway.now, Set.of("s0", "s7"));
        gateway.listEndpoints(2);
        sendRequests(gateway, 0, 30);
        assertEquals(0, sendCount(gateway, "s0"));
        assertEquals(1, gateway.policy.unavailableEndpointCount(gateway.now), "s7 is not in the list");
        assertTrue(gateway.policy.setCordoned(gateway.now, "s7", false));
        gateway.policy.replaceCordons(gateway.now, Set.of());
        sendRequests(gateway, 30, 500);
        assertTrue(sendCount(gateway, "s0") > 0);
    }

    /**
     * Guards against a budget that depends only on what was sent: with all endpoints in slow start, the budget and the
     * sends reduced each other further and further.
     */
    @Test
    void endpointsThatRestartTogetherAreUsedToTheirCapacity() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(10);
        sendRequests(gateway, 0, 1000);
        List<EndpointDescriptor> restarted = new java.util.ArrayList<>();
        for (int i = 0; i < 10; i++) {
            restarted.add(PolicyHarness.endpoint(i, EndpointState.UP, gateway.now));
        }
        gateway.policy.onEndpoints(gateway.now, restarted, true);
        sendRequests(gateway, 1000, 1300); // 3 s, at a fifth to a quarter of their capacity
        long before = gateway.countActions("sen");
        sendRequests(gateway, 1300, 1600); // up to two fifths of their capacity
        assertTrue(
                gateway.countActions("sen") - before > 60,
                "sent of 300 requests: " + (gateway.countActions("sen") - before));
    }
}
