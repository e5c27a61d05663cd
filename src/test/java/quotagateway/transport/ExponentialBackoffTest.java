package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ExponentialBackoffTest {
    private final ExponentialBackoff backoff = new ExponentialBackoff(200, 700);

    @Test
    void delayDoublesUpToItsBound() {
        assertEquals(200, backoff.nextMs());
        assertEquals(400, backoff.nextMs());
        assertEquals(700, backoff.nextMs());
        assertEquals(700, backoff.nextMs());
    }

    @Test
    void resetBringsTheInitialDelayBack() {
        backoff.nextMs();
        backoff.nextMs();
        backoff.reset();
        assertEquals(200, backoff.nextMs());
    }

    @Test
    void jitteredDelayIsBetweenHalfAndWholeWithOneDraw() {
        SplittableRandom random = new SplittableRandom(5);
        SplittableRandom sameDraws = new SplittableRandom(5);
        for (double delayMs : new double[] {200, 400, 700, 700}) {
            assertEquals(delayMs * (1 + sameDraws.nextDouble()) / 2, backoff.nextJitteredMs(random));
        }
        assertEquals(sameDraws.nextLong(), random.nextLong());
    }
}
