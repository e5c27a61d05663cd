package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A signal that arrives while the node starts must not be lost. */
class ReloadSignalTest {
    @Test
    void signalDuringTheStartIsHandledOnceTheNodeExists() {
        ReloadSignal signal = new ReloadSignal();
        AtomicInteger runs = new AtomicInteger();
        signal.onSignal();
        signal.onSignal();
        signal.setAction(runs::incrementAndGet);
        assertEquals(1, runs.get());
        signal.onSignal();
        assertEquals(2, runs.get());
    }

    @Test
    void withoutASignalNothingIsRun() {
        AtomicInteger runs = new AtomicInteger();
        new ReloadSignal().setAction(runs::incrementAndGet);
        assertEquals(0, runs.get());
    }
}
