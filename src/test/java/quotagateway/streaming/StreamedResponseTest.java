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
    private static final double ALONE_MS = 500;
    private static final double WITH_COMMANDS_BEHIND_MS = 2000;

    private final ManualEventLoop loop = new ManualEventLoop();
    private final EmbeddedChannel client = new EmbeddedChannel(new RedisEncoder());
    private final List<String> events = new ArrayList<>();
    private boolean reading = true;
    private boolean commandsBehind;
    private boolean hasRoom = true;

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
        public boolean hasCommandsBehind() {
            return commandsBehind;
        }

        @Override
        public void onStreamBegun() {
            events.add("begun");
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

    /** Without memory to gather the response; tests of gathering create another stream. */
    private final GatherLimits limits = new GatherLimits(behind -> false, 0, 0, Double.MAX_VALUE);

    private final StreamedResponse stream = new StreamedResponse(
            loop, source, slot, 6, limits, SILENCE_TIMEOUT_MS, (ended, end) -> events.add("ended " + end));

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
        stream.onTurn(client);
        assertTrue(reading);
        assertEquals("$6\r\nabc", sent());
        stream.append(bytes("def"), true);
        assertEquals("def\r\n", sent());
        assertEquals(List.of("begun", "completed", "ended COMPLETE"), events);
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
        stream.onTurn(client);
        stream.append(bytes("abc"), false);
        stream.onSourceFailed();
        stream.onSourceFailed();
        assertEquals(List.of("begun", "ended ENDPOINT_CLOSED", "stop", "abort"), events);
    }

    @Test
    void silentEndpointFailsTheStream() {
        stream.onTurn(client);
        loop.advance(SILENCE_TIMEOUT_MS - 100);
        stream.append(bytes("abc"), false);
        loop.advance(SILENCE_TIMEOUT_MS);
        assertEquals(List.of("begun"), events);
        loop.advance(1000);
        assertEquals(List.of("begun", "ended ENDPOINT_SILENT", "stop", "abort"), events);
    }

    /** Guards against cutting off a client that reads slowly: an unwritable connection ends no stream (review/6). */
    @Test
    void clientThatTakesNothingForLongIsNotCutOff() {
        stream.onTurn(client);
        stream.append(bytes("abc"), false);
        setClientWritable(false);
        loop.advance(100 * SILENCE_TIMEOUT_MS);
        assertFalse(reading);
        setClientWritable(true);
        assertTrue(reading);
        loop.advance(SILENCE_TIMEOUT_MS); // the endpoint's silence counts from here on
        stream.append(bytes("def"), true);
        assertEquals("$6\r\nabcdef\r\n", sent());
        assertEquals(List.of("begun", "completed", "ended COMPLETE"), events);
    }

    private void setClientWritable(boolean writable) {
        client.unsafe().outboundBuffer().setUserDefinedWritability(1, writable);
        client.runPendingTasks();
        stream.updateReading();
    }

    /** Guards against a process that never ends, as a stream whose last part could not be written counts as open. */
    @Test
    void streamEndsIfItsLastPartCanNotBeWritten() {
        stream.onTurn(client);
        stream.append(bytes("abcdef"), true);
        client.close(); // before the part is flushed
        assertEquals(List.of("begun", "completed", "ended CLIENT_GONE"), events);
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

    // ---- gathering ----

    private StreamedResponse newGatheringStream() {
        GatherLimits gatherLimits =
                new GatherLimits(behind -> hasRoom, ALONE_MS, WITH_COMMANDS_BEHIND_MS, Double.MAX_VALUE);
        return new StreamedResponse(
                loop, source, slot, 6, gatherLimits, SILENCE_TIMEOUT_MS, (ended, end) -> events.add("ended " + end));
    }

    /**
     * Guards against responses that are lost behind a value that breaks off (review/9): none of it is written before it
     * is complete, so the connection goes on with an error in its place.
     */
    @Test
    void valueThatBreaksOffInItsTimeFailsLikeAnyOther() {
        commandsBehind = true;
        StreamedResponse gathered = newGatheringStream();
        gathered.onTurn(client);
        gathered.append(bytes("abc"), false);
        loop.advance(WITH_COMMANDS_BEHIND_MS - 1);
        assertTrue(reading);
        assertEquals("", sent());
        gathered.onSourceFailed();
        assertEquals(List.of("ended ENDPOINT_CLOSED", "stop", "respond ERR failed"), events);
    }

    /** Guards against beginning a value whose end has arrived unseen, as it was not read before its turn. */
    @Test
    void whatArrivedBeforeItsTurnIsReadFirst() {
        GatherLimits noTime = new GatherLimits(behind -> true, 0, 0, Double.MAX_VALUE);
        StreamedResponse waiting = new StreamedResponse(
                loop, source, slot, 6, noTime, SILENCE_TIMEOUT_MS, (ended, end) -> events.add("ended " + end));
        waiting.append(bytes("abc"), false);
        assertFalse(reading);
        waiting.onTurn(client);
        assertTrue(reading);
        waiting.append(bytes("d"), false); // read in front of the end
        assertEquals("", sent());
        waiting.onSourceFailed();
        loop.advance(10);
        assertEquals(List.of("ended ENDPOINT_CLOSED", "stop", "respond ERR failed"), events);
    }

    @Test
    void gatheredValueIsWrittenOnceItIsComplete() {
        StreamedResponse gathered = newGatheringStream();
        gathered.onTurn(client);
        gathered.append(bytes("abc"), false);
        assertEquals("", sent());
        gathered.append(bytes("def"), true);
        assertEquals("$6\r\nabcdef\r\n", sent());
        assertEquals(List.of("begun", "completed", "ended COMPLETE"), events);
    }

    /** The first byte is timed: a value is held back while that costs nothing, with commands behind it for longer. */
    @Test
    void firstByteIsWrittenInItsTime() {
        StreamedResponse alone = newGatheringStream();
        alone.onTurn(client);
        alone.append(bytes("abc"), false);
        loop.advance(ALONE_MS);
        assertEquals("$6\r\nabc", sent());
        StreamedResponse joined = newGatheringStream();
        joined.onTurn(client);
        joined.append(bytes("abc"), false);
        commandsBehind = true; // arrived meanwhile
        loop.advance(WITH_COMMANDS_BEHIND_MS - 1);
        assertEquals("", sent());
        loop.advance(1);
        assertEquals("$6\r\nabc", sent());
    }

    @Test
    void firstByteIsWrittenWhenMemoryRunsOutOrTheProcessIsToEnd() {
        commandsBehind = true;
        StreamedResponse shortOfMemory = newGatheringStream();
        shortOfMemory.onTurn(client);
        hasRoom = false;
        shortOfMemory.append(bytes("abc"), false);
        assertEquals("$6\r\nabc", sent());
        hasRoom = true;
        StreamedResponse ending = newGatheringStream();
        ending.onTurn(client);
        ending.append(bytes("abc"), false);
        ending.bringBeginForwardTo(loop.now() + 100);
        loop.advance(99);
        assertEquals("", sent());
        loop.advance(1);
        assertEquals("$6\r\nabc", sent());
    }
}
