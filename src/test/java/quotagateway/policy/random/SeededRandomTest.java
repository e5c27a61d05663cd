package quotagateway.policy.random;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import org.junit.jupiter.api.Test;

class SeededRandomTest {
    @Test
    void numbersAreThoseOfTheStandardGenerator() {
        for (long seed : new long[] {0, 1, 42, -7, Long.MAX_VALUE, Long.MIN_VALUE}) {
            Random standard = new Random(seed);
            Random random = new SeededRandom(seed);
            for (int i = 0; i < 1000; i++) {
                assertEquals(standard.nextDouble(), random.nextDouble());
                assertEquals(standard.nextLong(), random.nextLong());
                assertEquals(standard.nextInt(17), random.nextInt(17));
            }
        }
    }
}
