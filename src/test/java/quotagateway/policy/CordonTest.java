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
    private static void load(PolicyHarness b, int from, int to) {
        for (int id = from; id < to; id++) {
            b.arrive(id, "read", "big", "c");
            b.to(b.now + 10);
            for (String line : List.copyOf(b.log)) { // held ones too, that were sent since
                if (line.startsWith("send ")) {
                    b.end(Long.parseLong(line.split(" ", 0)[1]), 0, CallOutcome.OK);
                    b.log.set(b.log.indexOf(line), "sent" + line.substring("send".length()));
                }
            }
        }
    }

    private static long sentTo(PolicyHarness b, String server) {
        return b.log.stream()
                .filter(line -> line.startsWith("sen") && line.endsWith(" " + server))
                .count();
    }

    @Test
    void nothingGoesToAServerThatIsOutWhateverTheListSays() {
        PolicyHarness b = PolicyHarness.plain().start().servers(3);
        load(b, 10_000, 10_100);
        assertTrue(sentTo(b, "s1") > 0);
        assertTrue(b.module.setCordoned(b.now, "s1", true));
        assertTrue(b.module.setCordoned(b.now, "s1", true), "twice is as good as once");
        assertEquals(1, b.count("withdraw s1"));
        long before = sentTo(b, "s1");
        load(b, 30, 60);
        b.module.onEndpoints(b.now, List.of(PolicyHarness.server(1, EndpointState.REMOVED, 0)), false);
        load(b, 60, 70);
        b.module.onEndpoints(b.now, List.of(PolicyHarness.server(1, EndpointState.UP, b.now)), false); // restarted
        b.servers(3);
        load(b, 70, 100);
        assertEquals(before, sentTo(b, "s1"));
        assertEquals(1, b.module.unavailableEndpointCount(b.now));
    }

    /** No attempt of another node's retry either: it is a retry's server too that is chosen anew. */
    @Test
    void aRetryDoesNotGoThere() {
        PolicyHarness b = PolicyHarness.plain().start().servers(2);
        b.arrive(1, "read", "big", "c");
        String first = b.sentTo(1);
        b.module.setCordoned(b.now, first.equals("s0") ? "s1" : "s0", true);
        b.end(1, 0, CallOutcome.ERROR);
        b.to(b.now + 100);
        assertEquals(0, sentTo(b, first.equals("s0") ? "s1" : "s0"));
    }

    @Test
    void aServerNoListHasNamedIsNotKnown() {
        PolicyHarness b = PolicyHarness.plain().start().servers(2);
        assertFalse(b.module.setCordoned(b.now, "s9", true));
        assertFalse(b.module.setCordoned(b.now, "s9", false));
        assertTrue(b.module.setCordoned(b.now, "s1", false), "not out, and back all the same");
        b.module.onEndpoints(b.now, List.of(PolicyHarness.server(1, EndpointState.REMOVED, 0)), false);
        assertTrue(b.module.setCordoned(b.now, "s1", true), "listed once");
    }

    /** With short queues the others are always quicker than a cold one: it would be left alone. */
    @Test
    void aServerThatIsBackIsUsedWithinFiveSecondsAndGently() {
        PolicyHarness b = PolicyHarness.plain().start().servers(3);
        load(b, 0, 300);
        b.module.setCordoned(b.now, "s1", true);
        load(b, 300, 400);
        long before = sentTo(b, "s1");
        double from = b.now;
        b.module.setCordoned(b.now, "s1", false);
        b.module.setCordoned(b.now, "s1", false);
        int id = 400;
        for (; b.now < from + 1000; id++) {
            load(b, id, id + 1);
        }
        assertTrue(sentTo(b, "s1") <= before + 12, "a warm one gets 33 in a second");
        for (; b.now < from + 4000; id++) {
            load(b, id, id + 1);
        }
        assertTrue(sentTo(b, "s1") > before);
        assertEquals(0, b.module.unavailableEndpointCount(b.now));
    }

    /** A slow trickle: no budget for a cold server builds up in time. */
    @Test
    void aServerThatIsBackIsUsedWithFewRequestsToo() {
        PolicyHarness b = PolicyHarness.plain().start().servers(12);
        b.module.setCordoned(b.now, "s1", true);
        b.module.setCordoned(b.now, "s1", false);
        for (int id = 0; id < 9; id++) {
            b.to(b.now + 500);
            b.arrive(id, "read", "big", "c");
            b.end(id, 0, CallOutcome.OK);
        }
        assertTrue(sentTo(b, "s1") > 0);
    }

    /** What was kept binds from the start, before the list has named the server, until it is put back. */
    @Test
    void whatWasKeptIsOutFromTheStart() {
        PolicyHarness b = PolicyHarness.plain().start();
        b.module.replaceCordons(b.now, Set.of("s0", "s7"));
        b.servers(2);
        load(b, 0, 30);
        assertEquals(0, sentTo(b, "s0"));
        assertEquals(1, b.module.unavailableEndpointCount(b.now), "s7 is not in the list");
        assertTrue(b.module.setCordoned(b.now, "s7", false));
        b.module.replaceCordons(b.now, Set.of());
        load(b, 30, 500);
        assertTrue(sentTo(b, "s0") > 0);
    }

    /** The budget of cold servers went by what was sent: with all of them cold, less and less of both. */
    @Test
    void aFleetThatRestartsTogetherIsUsedAsFarAsItCan() {
        PolicyHarness b = PolicyHarness.plain().start().servers(10);
        load(b, 0, 1000);
        List<EndpointDescriptor> cold = new java.util.ArrayList<>();
        for (int i = 0; i < 10; i++) {
            cold.add(PolicyHarness.server(i, EndpointState.UP, b.now));
        }
        b.module.onEndpoints(b.now, cold, true);
        load(b, 1000, 1300); // 3 s, at a fifth of their capacity to a quarter
        long before = b.count("sen");
        load(b, 1300, 1600); // to two fifths
        assertTrue(b.count("sen") - before > 60, "sent on of 300: " + (b.count("sen") - before));
    }
}
