package quotagateway.streaming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.transport.ManualEventLoop;

class StreamedResponseTest {
    private static final double SILENCE_TIMEOUT_MS = 15_000;

    private final ManualEventLoop loop = new ManualEventLoop();
    private final EmbeddedChannel client = new EmbeddedChannel(new RedisEncoder());
    private final List<String> events = new ArrayList<>();
    private boolean reading = true;

    private final ResponseSource source = new ResponseSource() {
        @Override
        public void setReading(boolean on) {
            reading = on;
        }

        @Override
        public void stop() {
            events.add("stop");
        }
    };

    private final ResponseSink slot = new ResponseSink() {
        @Override
        public void respond(RedisMessage message) {
            events.add("respond " + ((ErrorRedisMessage) message).content());
        }

        @Override
        public void abort() {
            events.add("abort");
        }

        @Override
        public void onStreamCompleted() {
            events.add("completed");
        }
    };

    private final StreamedResponse stream =
            new StreamedResponse(loop, source, slot, 6, SILENCE_TIMEOUT_MS, (ended, end) -> events.add("ended " + end));

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private String sent() {
        loop.flush();
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = client.readOutbound(); part != null; part = client.readOutbound()) {
            text.append(part.toString(StandardCharsets.UTF_8));
            part.release();
        }
        return text.toString();
    }

    @Test
    void readingIsPausedUntilEarlierResponsesAreWritten() {
        stream.append(bytes("abc"), false);
        assertFalse(reading);
        stream.startWriting(client);
        assertTrue(reading);
        assertEquals("$6\r\nabc", sent());
        stream.append(bytes("def"), true);
        assertEquals("def\r\n", sent());
        assertEquals(List.of("completed", "ended COMPLETE"), events);
    }

    @Test
    void streamThatFailsBeforeWritingIsAnsweredWithAnError() {
        ByteBuf early = bytes("abc");
        stream.append(early, false);
        stream.onSourceFailed();
        assertEquals(0, early.refCnt());
        assertEquals(List.of("ended ENDPOINT_CLOSED", "stop", "respond ERR failed"), events);
    }

    @Test
    void streamThatFailsMidwayClosesTheClientsConnection() {
        stream.startWriting(client);
        stream.append(bytes("abc"), false);
        stream.onSourceFailed();
        stream.onSourceFailed();
        assertEquals(List.of("ended ENDPOINT_CLOSED", "stop", "abort"), events);
    }

    @Test
    void silentEndpointFailsTheStream() {
        stream.startWriting(client);
        loop.advance(SILENCE_TIMEOUT_MS - 100);
        stream.append(bytes("abc"), false);
        loop.advance(SILENCE_TIMEOUT_MS);
        assertEquals(List.of(), events);
        loop.advance(1000);
        assertEquals(List.of("ended ENDPOINT_SILENT", "stop", "abort"), events);
    }

    /** Guards against cutting off a client that reads slowly: an unwritable connection ends no stream (review/6). */
    @Test
    void clientThatTakesNothingForLongIsNotCutOff() {
        stream.startWriting(client);
        stream.append(bytes("abc"), false);
        setClientWritable(false);
        loop.advance(100 * SILENCE_TIMEOUT_MS);
        assertFalse(reading);
        setClientWritable(true);
        assertTrue(reading);
        loop.advance(SILENCE_TIMEOUT_MS); // the endpoint's silence counts from here on
        stream.append(bytes("def"), true);
        assertEquals("$6\r\nabcdef\r\n", sent());
        assertEquals(List.of("completed", "ended COMPLETE"), events);
    }

    private void setClientWritable(boolean writable) {
        client.unsafe().outboundBuffer().setUserDefinedWritability(1, writable);
        client.runPendingTasks();
        stream.updateReading();
    }

    /** Guards against a process that never ends, as a stream whose last part could not be written counts as open. */
    @Test
    void streamEndsIfItsLastPartCanNotBeWritten() {
        stream.startWriting(client);
        stream.append(bytes("abcdef"), true);
        client.close(); // before the part is flushed
        assertEquals(List.of("completed", "ended CLIENT_GONE"), events);
    }

    @Test
    void clientDisconnectStopsTheSourceWithoutAnOutcome() {
        stream.append(bytes("abc"), false);
        stream.onClientDisconnected();
        ByteBuf late = bytes("def");
        stream.append(late, true);
        assertEquals(0, late.refCnt());
        assertEquals(List.of("ended CLIENT_GONE", "stop"), events);
    }
}
