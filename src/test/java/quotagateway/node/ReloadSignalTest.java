package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A new configuration that is told of while the node comes up was never read. */
class ReloadSignalTest {
    @Test
    void aSignalDuringTheStartIsHeardOnceThereIsANode() {
        ReloadSignal hangup = new ReloadSignal();
        AtomicInteger told = new AtomicInteger();
        hangup.came();
        hangup.came();
        hangup.to(told::incrementAndGet);
        assertEquals(1, told.get());
        hangup.came();
        assertEquals(2, told.get());
    }

    @Test
    void withoutASignalNothingIsRun() {
        AtomicInteger told = new AtomicInteger();
        new ReloadSignal().to(told::incrementAndGet);
        assertEquals(0, told.get());
    }
}
