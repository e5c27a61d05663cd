package quotagateway.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RespCodecTest {
    private static final int MAX_ELEMENTS = 4;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<String> events = new ArrayList<>();
    private long largeBytes;

    @AfterEach
    void release() {
        channel.finishAndReleaseAll();
    }

    /** Accepts a large element at index 1, and counts its bytes. */
    private final class CountingHandler implements LargeValueHandler {
        @Override
        public int argumentIndex() {
            return 1;
        }

        @Override
        public boolean onValueStarted(int length) {
            events.add("started " + length);
            return true;
        }

        @Override
        public void onValueContent(ByteBuf part, boolean last) {
            largeBytes += part.readableBytes();
            part.release();
            if (last) {
                events.add("ended");
            }
        }
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private static String bulk(String text) {
        return "$" + text.length() + "\r\n" + text + "\r\n";
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "+OK\r\n",
                "-BUSY 20\r\n",
                "+\u00e9\r\n",
                ":-17\r\n",
                "$-1\r\n",
                "$0\r\n\r\n",
                "$3\r\nabc\r\n",
                "*0\r\n",
                "*-1\r\n",
                "*3\r\n$10\r\n0123456789\r\n$-1\r\n*1\r\n:5\r\n"
            })
    void messageReceivedByteByByteIsPendingUntilItIsComplete(String text) {
        RespFrameTracker frameTracker = RespCodec.addHandlers(channel.pipeline(), MAX_ELEMENTS);
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < bytes.length; i++) {
            assertNull(channel.readInbound());
            assertEquals(i, frameTracker.pendingBytes());
            channel.writeInbound(Unpooled.copiedBuffer(bytes, i, 1));
        }
        RedisMessage message = channel.readInbound();
        frameTracker.onMessageComplete(message);
        assertEquals(0, frameTracker.pendingBytes());
        ReferenceCountUtil.release(message);
    }

    @Test
    void largeValueGoesToItsHandlerAndIsEmptyInTheMessage() {
        RespFrameTracker frameTracker =
                RespCodec.addHandlers(channel.pipeline(), MAX_ELEMENTS, ValueMemory.UNLIMITED, new CountingHandler());
        int length = RespCodec.MAX_BUFFERED_VALUE_BYTES + 1;
        receive("*3\r\n" + bulk("CALL") + "$" + length + "\r\n" + "x".repeat(length - 1));
        assertEquals(List.of("started " + length), events);
        receive("x\r\n" + bulk("end"));
        assertEquals(List.of("started " + length, "ended"), events);
        assertEquals(length, largeBytes);
        ArrayRedisMessage message = channel.readInbound();
        assertEquals("", RespCodec.text(message.children().get(1)));
        assertEquals("end", RespCodec.text(message.children().get(2)));
        frameTracker.onMessageComplete(message);
        assertEquals(0, frameTracker.pendingBytes());
        ReferenceCountUtil.release(message);
    }

    @Test
    void largeValueIsRejectedAtAnyOtherPosition() {
        int length = RespCodec.MAX_BUFFERED_VALUE_BYTES + 1;
        for (String text : List.of(
                "$" + length + "\r\n",
                "*2\r\n$" + length + "\r\n",
                "*3\r\n" + bulk("a") + bulk("b") + "$" + length + "\r\n",
                "*2\r\n" + bulk("a") + "$" + (RespCodec.MAX_VALUE_BYTES + 1) + "\r\n")) {
            EmbeddedChannel fresh = new EmbeddedChannel();
            RespCodec.addHandlers(fresh.pipeline(), MAX_ELEMENTS, ValueMemory.UNLIMITED, new CountingHandler());
            assertThrows(
                    CodecException.class,
                    () -> fresh.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII)));
            fresh.close(); // not finish(), which throws for an incomplete array
            fresh.releaseInbound();
        }
        assertEquals(List.of(), events);
    }

    @Test
    void largeValueIsRejectedWithoutAHandler() {
        RespCodec.addHandlers(channel.pipeline(), MAX_ELEMENTS);
        assertThrows(CodecException.class, () -> receive("$" + (RespCodec.MAX_BUFFERED_VALUE_BYTES + 1) + "\r\n"));
    }

    @Test
    void arrayWithTooManyElementsIsRejected() {
        RespCodec.addHandlers(channel.pipeline(), MAX_ELEMENTS);
        assertThrows(CodecException.class, () -> receive("*" + (MAX_ELEMENTS + 1) + "\r\n"));
    }

    /** A value that there is no memory for is dropped, and what follows it on the connection is read as usual. */
    @Test
    void valueWithoutMemoryIsReplacedAndTheNextMessageIsComplete() {
        RespFrameTracker frameTracker = RespCodec.addHandlers(channel.pipeline(), MAX_ELEMENTS, bytes -> false, null);
        int length = RespCodec.MAX_BUFFERED_VALUE_BYTES;
        receive("*2\r\n" + bulk("CALL") + "$" + length + "\r\n");
        for (int i = 0; i < length; i += length / 4) {
            receive("x".repeat(length / 4));
        }
        receive("\r\n" + bulk("next"));
        ArrayRedisMessage message = channel.readInbound();
        assertEquals("CALL", RespCodec.text(message.children().get(0)));
        assertTrue(message.children().get(1) instanceof DiscardedValue);
        frameTracker.onMessageComplete(message);
        ReferenceCountUtil.release(message);
        RedisMessage next = channel.readInbound();
        assertEquals("next", RespCodec.text(next));
        frameTracker.onMessageComplete(next);
        assertEquals(0, frameTracker.pendingBytes());
        ReferenceCountUtil.release(next);
    }

    /** A client that sends many long values in one command must not hold more than one that sends a valid command. */
    @Test
    void messageWithMoreThanOneLongValueIsRejected() {
        EmbeddedChannel fresh = new EmbeddedChannel();
        RespCodec.addHandlers(fresh.pipeline(), MAX_ELEMENTS);
        String longest = bulk("x".repeat(RespCodec.MAX_BUFFERED_VALUE_BYTES));
        fresh.writeInbound(Unpooled.copiedBuffer("*4\r\n" + longest + longest, StandardCharsets.US_ASCII));
        assertThrows(
                CodecException.class,
                () -> fresh.writeInbound(Unpooled.copiedBuffer("$1\r\n", StandardCharsets.US_ASCII)));
        fresh.close(); // not finish(), which throws for an incomplete array
    }

    @Test
    void commandIsAnArrayOfBulkStrings() {
        RespCodec.addHandlers(channel.pipeline(), MAX_ELEMENTS);
        channel.writeOutbound(RespCodec.command(channel.alloc(), "PING", "\u00e9"));
        StringBuilder text = new StringBuilder();
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            text.append(out.toString(StandardCharsets.UTF_8));
            out.release();
        }
        assertEquals("*2\r\n$4\r\nPING\r\n$2\r\n\u00e9\r\n", text.toString());
        assertTrue(channel.isOpen());
    }
}
