package willowyoke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Servers that operators take out: nothing goes there until they put them back, whatever the list says. */
class CordonTest {
    private static void load(Bench b, int from, int to) {
        for (int id = from; id < to; id++) {
            b.arrive(id, "read", "big", "c");
            b.to(b.now + 10);
            for (String line : List.copyOf(b.log)) { // held ones too, that were sent since
                if (line.startsWith("send ")) {
                    b.end(Long.parseLong(line.split(" ")[1]), 0, Gateway.Outcome.OK);
                    b.log.set(b.log.indexOf(line), "sent" + line.substring("send".length()));
                }
            }
        }
    }

    private static long sentTo(Bench b, String server) {
        return b.log.stream()
                .filter(line -> line.startsWith("sen") && line.endsWith(" " + server))
                .count();
    }

    @Test
    void nothingGoesToAServerThatIsOutWhateverTheListSays() {
        Bench b = Bench.plain().start().servers(3);
        load(b, 10_000, 10_100);
        assertTrue(sentTo(b, "s1") > 0);
        assertTrue(b.module.cordon(b.now, "s1", true));
        assertTrue(b.module.cordon(b.now, "s1", true), "twice is as good as once");
        assertEquals(1, b.count("withdraw s1"));
        long before = sentTo(b, "s1");
        load(b, 30, 60);
        b.module.servers(b.now, List.of(Bench.server(1, Gateway.State.GONE, 0)), false);
        load(b, 60, 70);
        b.module.servers(b.now, List.of(Bench.server(1, Gateway.State.UP, b.now)), false); // restarted
        b.servers(3);
        load(b, 70, 100);
        assertEquals(before, sentTo(b, "s1"));
        assertEquals(1, b.module.avoided(b.now));
    }

    /** No attempt of another node's retry either: it is a retry's server too that is chosen anew. */
    @Test
    void aRetryDoesNotGoThere() {
        Bench b = Bench.plain().start().servers(2);
        b.arrive(1, "read", "big", "c");
        String first = b.sentTo(1);
        b.module.cordon(b.now, first.equals("s0") ? "s1" : "s0", true);
        b.end(1, 0, Gateway.Outcome.ERROR);
        b.to(b.now + 100);
        assertEquals(0, sentTo(b, first.equals("s0") ? "s1" : "s0"));
    }

    @Test
    void aServerNoListHasNamedIsNotKnown() {
        Bench b = Bench.plain().start().servers(2);
        assertFalse(b.module.cordon(b.now, "s9", true));
        assertFalse(b.module.cordon(b.now, "s9", false));
        assertTrue(b.module.cordon(b.now, "s1", false), "not out, and back all the same");
        b.module.servers(b.now, List.of(Bench.server(1, Gateway.State.GONE, 0)), false);
        assertTrue(b.module.cordon(b.now, "s1", true), "listed once");
    }

    /** With short queues the others are always quicker than a cold one: it would be left alone. */
    @Test
    void aServerThatIsBackIsUsedWithinFiveSecondsAndGently() {
        Bench b = Bench.plain().start().servers(3);
        load(b, 0, 300);
        b.module.cordon(b.now, "s1", true);
        load(b, 300, 400);
        long before = sentTo(b, "s1");
        double from = b.now;
        b.module.cordon(b.now, "s1", false);
        b.module.cordon(b.now, "s1", false);
        int id = 400;
        for (; b.now < from + 1000; id++) {
            load(b, id, id + 1);
        }
        assertTrue(sentTo(b, "s1") <= before + 12, "a warm one gets 33 in a second");
        for (; b.now < from + 4000; id++) {
            load(b, id, id + 1);
        }
        assertTrue(sentTo(b, "s1") > before);
        assertEquals(0, b.module.avoided(b.now));
    }

    /** A slow trickle: no budget for a cold server builds up in time. */
    @Test
    void aServerThatIsBackIsUsedWithFewRequestsToo() {
        Bench b = Bench.plain().start().servers(12);
        b.module.cordon(b.now, "s1", true);
        b.module.cordon(b.now, "s1", false);
        for (int id = 0; id < 9; id++) {
            b.to(b.now + 500);
            b.arrive(id, "read", "big", "c");
            b.end(id, 0, Gateway.Outcome.OK);
        }
        assertTrue(sentTo(b, "s1") > 0);
    }

    /** What was kept binds from the start, before the list has named the server, until it is put back. */
    @Test
    void whatWasKeptIsOutFromTheStart() {
        Bench b = Bench.plain().start();
        b.module.cordons(b.now, Set.of("s0", "s7"));
        b.servers(2);
        load(b, 0, 30);
        assertEquals(0, sentTo(b, "s0"));
        assertEquals(1, b.module.avoided(b.now), "s7 is not in the list");
        assertTrue(b.module.cordon(b.now, "s7", false));
        b.module.cordons(b.now, Set.of());
        load(b, 30, 500);
        assertTrue(sentTo(b, "s0") > 0);
    }

    /** The budget of cold servers went by what was sent: with all of them cold, less and less of both. */
    @Test
    void aFleetThatRestartsTogetherIsUsedAsFarAsItCan() {
        Bench b = Bench.plain().start().servers(10);
        load(b, 0, 1000);
        List<Gateway.Server> cold = new java.util.ArrayList<>();
        for (int i = 0; i < 10; i++) {
            cold.add(Bench.server(i, Gateway.State.UP, b.now));
        }
        b.module.servers(b.now, cold, true);
        load(b, 1000, 1300); // 3 s, at a fifth of their capacity to a quarter
        long before = b.count("sen");
        load(b, 1300, 1600); // to two fifths
        assertTrue(b.count("sen") - before > 60, "sent on of 300: " + (b.count("sen") - before));
    }
}
