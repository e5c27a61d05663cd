package quotagateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WatchTimeoutTest {
    private final WatchTimeout timeout = new WatchTimeout();

    @Test
    void answerIsDueWithinTheTimeoutOfItsCall() {
        timeout.onRequest(1000, 2500);
        assertEquals(3500, timeout.answerDeadline());
        assertEquals(5 * 80, timeout.stalledListMs(), "a call that may take longer may stall for longer");
    }

    @Test
    void bytesOfAListAddTheTimeThatTheyTake() {
        timeout.onRequest(1000, 500);
        timeout.onProgress(1200);
        timeout.onBytes(256 * 40);
        assertEquals(1200 + 500 + 40, timeout.answerDeadline());
        timeout.onProgress(1300);
        assertEquals(1300 + 500, timeout.answerDeadline(), "the bytes of the list before do not count");
    }

    @Test
    void answeredCallHasTheShortestTimeoutFromThereOn() {
        timeout.onRequest(1000, 2500);
        timeout.onAnswered();
        assertEquals(1500, timeout.answerDeadline());
        assertEquals(80, timeout.stalledListMs());
    }

    @Test
    void silenceEndsBetweenThreeAndFourSecondsBehindTheLastRead() {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 100; i++) {
            timeout.onRead(1000, random);
            assertTrue(timeout.silenceDeadline() >= 4100 && timeout.silenceDeadline() < 4700);
        }
    }
}
