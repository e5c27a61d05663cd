package quotagateway.scale.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A seed names one plan, and a plan has faults that overlap. */
class FaultPlanTest {
    private static List<FaultPlan.Fault> plan(long seed) {
        return FaultPlan.draw(new SplittableRandom(seed), 100, 1000, 31_000, 20, 30, 2);
    }

    @Test
    void sameSeedDrawsSamePlan() {
        assertEquals(plan(1), plan(1));
        assertNotEquals(plan(1), plan(2));
    }

    @Test
    void faultsAreInOrderAndWithinTheRun() {
        double last = 1000;
        for (FaultPlan.Fault fault : plan(3)) {
            assertTrue(fault.at() >= last && fault.at() < 31_000);
            assertTrue(fault.targets().size() >= 1);
            last = fault.at();
        }
    }

    @Test
    void longPlanHasEveryKindAndOverlaps() {
        List<FaultPlan.Fault> all = FaultPlan.draw(new SplittableRandom(4), 1000, 0, 300_000, 20, 30, 2);
        for (FaultPlan.Kind kind : FaultPlan.Kind.values()) {
            assertTrue(all.stream().anyMatch(f -> f.kind() == kind), kind.toString());
        }
        long overlapping = all.stream()
                .filter(one -> all.stream()
                        .anyMatch(other -> !other.equals(one)
                                && other.at() < one.at() + one.duration()
                                && one.at() < other.at() + other.duration()))
                .count();
        assertTrue(overlapping > 900, "overlapping: " + overlapping);
    }

    @Test
    void drawnSettingsGiveTheEarliestKill() {
        for (int seed = 0; seed < 50; seed++) {
            SoakSettings settings = new SoakSettings(12, new SplittableRandom(seed));
            double longest = settings.classes().stream()
                    .mapToDouble(c -> c.deadline())
                    .max()
                    .orElseThrow();
            assertEquals(Math.min(longest, 3000) + 700, settings.earliestKillMs());
            assertEquals(settings.toString(), new SoakSettings(12, new SplittableRandom(seed)).toString());
        }
    }
}
