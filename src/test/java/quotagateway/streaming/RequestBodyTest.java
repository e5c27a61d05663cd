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

    private double nowMs = 1000;
    private double unreadSinceMs = Double.MAX_VALUE;
    private final ArrivalTimes arrivalTimes = new ArrivalTimes() {
        @Override
        public double receivedAtMs() {
            return nextByteAtMs();
        }

        @Override
        public double nextByteAtMs() {
            return Math.min(nowMs, unreadSinceMs);
        }
    };
    private int readingChanges;
    private final RequestBody body = new RequestBody(LENGTH, arrivalTimes, () -> readingChanges++);
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
        body.append(bytes(RequestBody.MAX_BUFFERED_BYTES - 1), false);
        assertFalse(body.isReadyToForward());
        assertTrue(body.wantsMore());
        body.append(bytes(1), false);
        assertTrue(body.isReadyToForward());
        assertFalse(body.wantsMore());
        assertEquals(2, readingChanges);
        body.discard();
    }

    @Test
    void bufferedPartsAreForwardedBeforeLaterOnes() {
        body.append(bytes(RequestBody.MAX_BUFFERED_BYTES), false);
        assertFalse(body.isConsumed());
        body.forwardTo(this::write);
        assertTrue(body.isConsumed());
        writable = false;
        body.append(bytes(60), false);
        assertFalse(body.wantsMore());
        body.setWritable(true);
        assertTrue(body.wantsMore());
        body.append(bytes(40), true);
        assertTrue(body.isComplete());
        assertEquals(List.of(RequestBody.MAX_BUFFERED_BYTES + "", "60", "40 last"), written);
    }

    @Test
    void discardedBodyIsStillReadAndDropped() {
        ByteBuf buffered = bytes(100);
        ByteBuf late = bytes(100);
        body.append(buffered, false);
        body.discard();
        body.append(late, false);
        body.forwardTo(this::write);
        assertEquals(0, buffered.refCnt());
        assertEquals(0, late.refCnt());
        assertTrue(body.wantsMore());
        assertTrue(body.isConsumed());
        assertEquals(List.of(), written);
    }

    /** Guards against a line end that comes by itself being taken for a part of the next command. */
    @Test
    void lastPartMayBeEmptyAndIsWrittenOnce() {
        body.append(bytes(RequestBody.MAX_BUFFERED_BYTES), false);
        body.forwardTo(this::write);
        body.append(bytes(100), false);
        assertFalse(body.isComplete());
        body.append(bytes(0), true);
        assertTrue(body.isComplete());
        assertEquals(List.of(RequestBody.MAX_BUFFERED_BYTES + "", "100", "0 last"), written);
    }

    /** Guards against a deadline that an early pause puts off: no pace so far is carried on (review/7). */
    @Test
    void lastByteIsExpectedAtTheEarliestTimeThatItCanHaveArrived() {
        assertEquals(1000, body.lastByteAtMs());
        nowMs = 3000;
        body.append(bytes(LENGTH / 4), false);
        assertEquals(3000, body.lastByteAtMs());
        unreadSinceMs = 3500;
        nowMs = 4000;
        assertEquals(3500, body.lastByteAtMs());
        body.append(bytes(LENGTH - LENGTH / 4), true);
        nowMs = 5000;
        unreadSinceMs = 4800;
        assertEquals(3500, body.lastByteAtMs());
        body.discard();
    }
}
