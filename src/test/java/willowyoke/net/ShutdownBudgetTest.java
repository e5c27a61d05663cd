package willowyoke.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import willowyoke.Gateway;
import willowyoke.SettingsReader;

/** The time that a shutdown has, by the deadlines of the settings. */
class ShutdownBudgetTest {
    private static Gateway.Settings settings(double... deadlines) {
        Gateway.Settings none = SettingsReader.read(Map.of());
        List<Gateway.RequestClass> classes = Arrays.stream(deadlines)
                .mapToObj(d -> new Gateway.RequestClass(
                        "c" + d, Gateway.Effect.SAFE, Gateway.Group.ALL, d / 2, d, 1, 0, 0, false))
                .toList();
        return new Gateway.Settings(
                none.me(),
                none.nodes(),
                none.zone(),
                none.tick(),
                none.mustAsk(),
                none.settled(),
                none.mostUnits(),
                none.loadFields(),
                classes,
                none.plans(),
                none.allowed(),
                none.rules(),
                none.prices());
    }

    @Test
    void theKillComesBehindTheLongestDeadline() {
        assertEquals(900, ShutdownBudget.earliestKill(settings(100, 200)));
        assertEquals(3008, ShutdownBudget.earliestKill(settings(2308, 1000)));
    }

    @Test
    void aLongerDeadlineCountsAsThreeSeconds() {
        assertEquals(3700, ShutdownBudget.earliestKill(settings(4000)));
        assertEquals(3700, ShutdownBudget.earliestKill(settings(10_000, 100)));
    }

    @Test
    void settingsThatTellNoDeadlineMayHaveAny() {
        assertEquals(3700, ShutdownBudget.earliestKill(settings()));
        assertEquals(3700, ShutdownBudget.earliestKill(settings(0)));
    }

    @Test
    void answersAreDueTwoHoldUpsBeforeTheKill() {
        assertEquals(2708, ShutdownBudget.answersDue(settings(2308)));
    }
}
