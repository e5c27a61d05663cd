package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A signal that comes while the node comes up must not be lost. */
class ReloadSignalTest {
    @Test
    void signalDuringTheStartIsHandledOnceThereIsANode() {
        ReloadSignal signal = new ReloadSignal();
        AtomicInteger told = new AtomicInteger();
        signal.onSignal();
        signal.onSignal();
        signal.setAction(told::incrementAndGet);
        assertEquals(1, told.get());
        signal.onSignal();
        assertEquals(2, told.get());
    }

    @Test
    void withoutASignalNothingIsRun() {
        AtomicInteger told = new AtomicInteger();
        new ReloadSignal().setAction(told::incrementAndGet);
        assertEquals(0, told.get());
    }
}
