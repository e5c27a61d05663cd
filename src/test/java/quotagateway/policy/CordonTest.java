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

/** Servers that operators take out: nothing goes there until they put them back, whatever the list says. */
class CordonTest {
    private static void load(PolicyHarness gateway, int from, int to) {
        for (int id = from; id < to; id++) {
            gateway.request(id, "read", "big", "c");
            gateway.advanceTo(gateway.now + 10);
            for (String line : List.copyOf(gateway.log)) { // held ones too, that were sent since
                if (line.startsWith("send ")) {
                    gateway.endAttempt(Long.parseLong(line.split(" ", 0)[1]), 0, CallOutcome.OK);
                    gateway.log.set(gateway.log.indexOf(line), "sent" + line.substring("send".length()));
                }
            }
        }
    }

    private static long sentTo(PolicyHarness gateway, String server) {
        return gateway.log.stream()
                .filter(line -> line.startsWith("sen") && line.endsWith(" " + server))
                .count();
    }

    @Test
    void cordonedEndpointGetsNothingWhateverTheListSays() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(3);
        load(gateway, 10_000, 10_100);
        assertTrue(sentTo(gateway, "s1") > 0);
        assertTrue(gateway.policy.setCordoned(gateway.now, "s1", true));
        assertTrue(gateway.policy.setCordoned(gateway.now, "s1", true), "twice is as good as once");
        assertEquals(1, gateway.countActions("withdraw s1"));
        long before = sentTo(gateway, "s1");
        load(gateway, 30, 60);
        gateway.policy.onEndpoints(gateway.now, List.of(PolicyHarness.endpoint(1, EndpointState.REMOVED, 0)), false);
        load(gateway, 60, 70);
        gateway.policy.onEndpoints(
                gateway.now, List.of(PolicyHarness.endpoint(1, EndpointState.UP, gateway.now)), false); // restarted
        gateway.listEndpoints(3);
        load(gateway, 70, 100);
        assertEquals(before, sentTo(gateway, "s1"));
        assertEquals(1, gateway.policy.unavailableEndpointCount(gateway.now));
    }

    /** No attempt of another node's retry either: it is a retry's server too that is chosen anew. */
    @Test
    void retryDoesNotGoToACordonedEndpoint() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(2);
        gateway.request(1, "read", "big", "c");
        String first = gateway.lastEndpointOf(1);
        gateway.policy.setCordoned(gateway.now, first.equals("s0") ? "s1" : "s0", true);
        gateway.endAttempt(1, 0, CallOutcome.ERROR);
        gateway.advanceTo(gateway.now + 100);
        assertEquals(0, sentTo(gateway, first.equals("s0") ? "s1" : "s0"));
    }

    @Test
    void endpointThatNoListHasNamedIsUnknown() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(2);
        assertFalse(gateway.policy.setCordoned(gateway.now, "s9", true));
        assertFalse(gateway.policy.setCordoned(gateway.now, "s9", false));
        assertTrue(gateway.policy.setCordoned(gateway.now, "s1", false), "not out, and back all the same");
        gateway.policy.onEndpoints(gateway.now, List.of(PolicyHarness.endpoint(1, EndpointState.REMOVED, 0)), false);
        assertTrue(gateway.policy.setCordoned(gateway.now, "s1", true), "listed once");
    }

    /** With short queues the others are always quicker than a cold one: it would be left alone. */
    @Test
    void uncordonedEndpointIsUsedWithinFiveSecondsAndInSlowStart() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(3);
        load(gateway, 0, 300);
        gateway.policy.setCordoned(gateway.now, "s1", true);
        load(gateway, 300, 400);
        long before = sentTo(gateway, "s1");
        double from = gateway.now;
        gateway.policy.setCordoned(gateway.now, "s1", false);
        gateway.policy.setCordoned(gateway.now, "s1", false);
        int id = 400;
        for (; gateway.now < from + 1000; id++) {
            load(gateway, id, id + 1);
        }
        assertTrue(sentTo(gateway, "s1") <= before + 12, "a warm one gets 33 in a second");
        for (; gateway.now < from + 4000; id++) {
            load(gateway, id, id + 1);
        }
        assertTrue(sentTo(gateway, "s1") > before);
        assertEquals(0, gateway.policy.unavailableEndpointCount(gateway.now));
    }

    /** A slow trickle: no budget for a cold server builds up in time. */
    @Test
    void uncordonedEndpointIsUsedWithFewRequestsToo() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(12);
        gateway.policy.setCordoned(gateway.now, "s1", true);
        gateway.policy.setCordoned(gateway.now, "s1", false);
        for (int id = 0; id < 9; id++) {
            gateway.advanceTo(gateway.now + 500);
            gateway.request(id, "read", "big", "c");
            gateway.endAttempt(id, 0, CallOutcome.OK);
        }
        assertTrue(sentTo(gateway, "s1") > 0);
    }

    /** What was kept binds from the start, before the list has named the server, until it is put back. */
    @Test
    void storedCordonsHoldFromTheStart() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start();
        gateway.policy.replaceCordons(gateway.now, Set.of("s0", "s7"));
        gateway.listEndpoints(2);
        load(gateway, 0, 30);
        assertEquals(0, sentTo(gateway, "s0"));
        assertEquals(1, gateway.policy.unavailableEndpointCount(gateway.now), "s7 is not in the list");
        assertTrue(gateway.policy.setCordoned(gateway.now, "s7", false));
        gateway.policy.replaceCordons(gateway.now, Set.of());
        load(gateway, 30, 500);
        assertTrue(sentTo(gateway, "s0") > 0);
    }

    /** The budget of cold servers went by what was sent: with all of them cold, less and less of both. */
    @Test
    void fleetThatRestartsTogetherIsUsedAsFarAsItCan() {
        PolicyHarness gateway = PolicyHarness.withoutCounter().start().listEndpoints(10);
        load(gateway, 0, 1000);
        List<EndpointDescriptor> cold = new java.util.ArrayList<>();
        for (int i = 0; i < 10; i++) {
            cold.add(PolicyHarness.endpoint(i, EndpointState.UP, gateway.now));
        }
        gateway.policy.onEndpoints(gateway.now, cold, true);
        load(gateway, 1000, 1300); // 3 s, at a fifth of their capacity to a quarter
        long before = gateway.countActions("sen");
        load(gateway, 1300, 1600); // to two fifths
        assertTrue(
                gateway.countActions("sen") - before > 60, "sent on of 300: " + (gateway.countActions("sen") - before));
    }
}
