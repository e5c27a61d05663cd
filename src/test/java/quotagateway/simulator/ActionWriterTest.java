package quotagateway.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.FailureReason;

class ActionWriterTest {
    private final ActionWriter actions = new ActionWriter();

    @Test
    void everyActionIsALineOfTheWire() {
        actions.sendAttempt(7, "10.0.0.1:80", 0);
        actions.cancelAttempt(7, 2);
        actions.reject(8, 1500, FailureReason.QUOTA_SHORT);
        actions.fail(9, FailureReason.DEADLINE);
        actions.scheduleTimer(12.3456, 4);
        actions.checkHealth("10.0.0.1:80");
        actions.addToCounter(42, -3, 60_000);
        actions.subscribeToEndpoints();
        assertEquals(
                List.of(
                        "PLACE\t7\t10.0.0.1:80\t0.0",
                        "DROP_ATTEMPT\t7\t2",
                        "PUSH_BACK\t8\t1500.0",
                        "GIVE_UP\t9",
                        "WAKE_AT\t12.346\t4",
                        "ASK_LOAD\t10.0.0.1:80",
                        "ADD_TO\t-3.0\t60000.0\t42",
                        "WATCH\t1"),
                actions.messages().toString().lines().toList());
        assertEquals('\n', actions.messages().charAt(actions.messages().length() - 1));
        actions.clear();
        assertEquals(0, actions.messages().length());
    }

    @Test
    void numbersAreNeverInExponentForm() {
        actions.addToCounter(1, 1e12, 0.0004);
        assertEquals("ADD_TO\t1000000000000\t0.0\t1\n", actions.messages().toString());
    }
}
