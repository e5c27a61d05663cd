package quotagateway.streaming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestBodyTest {
    private static final int LENGTH = RequestBody.MAX_BUFFERED_BYTES + 100;

    private int readingChanges;
    private final RequestBody body = new RequestBody(LENGTH, 1000, () -> readingChanges++);
    private final List<String> written = new ArrayList<>();
    private boolean writable = true;

    private static ByteBuf bytes(int size) {
        return Unpooled.buffer(size).writeZero(size);
    }

    private boolean write(ByteBuf part, boolean last) {
        written.add(part.readableBytes() + (last ? " last" : ""));
        part.release();
        return writable;
    }

    @Test
    void bodyIsReadyToForwardOnceItsFirstPartIsBuffered() {
        body.append(bytes(RequestBody.MAX_BUFFERED_BYTES - 1));
        assertFalse(body.isReadyToForward());
        assertTrue(body.wantsMore());
        body.append(bytes(1));
        assertTrue(body.isReadyToForward());
        assertFalse(body.wantsMore());
        assertEquals(2, readingChanges);
        body.discard();
    }

    @Test
    void bufferedPartsAreForwardedBeforeLaterOnes() {
        body.append(bytes(RequestBody.MAX_BUFFERED_BYTES));
        assertFalse(body.isConsumed());
        body.forwardTo(this::write);
        assertTrue(body.isConsumed());
        writable = false;
        body.append(bytes(60));
        assertFalse(body.wantsMore());
        body.setWritable(true);
        assertTrue(body.wantsMore());
        body.append(bytes(40));
        assertTrue(body.isComplete());
        assertEquals(List.of(RequestBody.MAX_BUFFERED_BYTES + "", "60", "40 last"), written);
    }

    @Test
    void discardedBodyIsStillReadAndDropped() {
        ByteBuf buffered = bytes(100);
        ByteBuf late = bytes(100);
        body.append(buffered);
        body.discard();
        body.append(late);
        body.forwardTo(this::write);
        assertEquals(0, buffered.refCnt());
        assertEquals(0, late.refCnt());
        assertTrue(body.wantsMore());
        assertTrue(body.isConsumed());
        assertEquals(List.of(), written);
    }

    @Test
    void remainingTimeIsEstimatedFromTheAverageRate() {
        assertEquals(0, body.remainingMs(1500));
        body.append(bytes(LENGTH / 4));
        assertEquals(300, body.remainingMs(1100), 1e-9);
        body.discard();
    }
}
