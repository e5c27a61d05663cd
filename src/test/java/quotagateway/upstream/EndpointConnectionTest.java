package quotagateway.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.redis.RedisMessage;
import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.resp.RespCodec;
import quotagateway.streaming.GatherLimits;
import quotagateway.streaming.ResponseSink;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;

class EndpointConnectionTest {
    private static final String OK = "*3\r\n$1\r\nv\r\n$-1\r\n$9\r\nutil=0.25\r\n";
    private static final double PARTIAL_REPLY_TIMEOUT_MS = 250;
    private static final int LARGE = RespCodec.MAX_BUFFERED_VALUE_BYTES + 1;
    private static final GatherLimits NO_GATHERING = new GatherLimits(commandsBehind -> false, 0, 0, 0);
    private static final double STREAM_SILENCE_TIMEOUT_MS = 15_000;

    private final EndpointSide endpoints = new EndpointSide(3);
    private final EndpointSide.Peer peer = endpoints.connected("s", 1);

    @Test
    void errorsOfTheEndpointEndTheAttemptAndKeepTheConnection() {
        endpoints.send("a", "s");
        peer.reply("-BUSY queue is full util=0.75\r\n");
        endpoints.loop.advance(2);
        endpoints.send("b", "s");
        peer.reply("-ERR failed\r\n");
        assertTrue(peer.isOpen());
        assertEquals(List.of("a written", "a FULL [0.75, NaN]", "b written", "b ERROR"), endpoints.takeEvents());
    }

    @Test
    void replyInNoFormOfTheProtocolEndsTheAttemptAndTheConnection() {
        endpoints.send("a", "s");
        peer.reply("-LOADING\r\n");
        assertFalse(peer.isOpen());
        assertEquals(List.of("a written", "a ERROR", "closed s UNASKED"), endpoints.takeEvents());
        assertEquals(1, endpoints.loop.failures().size());
    }

    @Test
    void secondCopyOfAReplyEndsTheConnection() {
        endpoints.send("a", "s");
        peer.reply(OK + OK);
        assertFalse(peer.isOpen());
        assertEquals(List.of("a written", "a OK v [0.25, NaN]", "closed s UNASKED"), endpoints.takeEvents());
    }

    @Test
    void replyThatGrowsIsWaitedForAndOneThatStopsFails() {
        endpoints.send("a", "s");
        peer.reply("*3\r\n$1\r\n");
        endpoints.loop.advance(PARTIAL_REPLY_TIMEOUT_MS - 1);
        peer.reply("v\r\n");
        endpoints.loop.advance(PARTIAL_REPLY_TIMEOUT_MS);
        assertTrue(peer.isOpen());
        endpoints.loop.advance(PARTIAL_REPLY_TIMEOUT_MS);
        assertFalse(peer.isOpen());
        // an embedded channel tells of its end within the call that closes it, a socket behind it
        assertEquals(List.of("a written", "closed s UNREADABLE", "a ERROR"), endpoints.takeEvents());
    }

    /** Guards against cutting off a reply that is written with pauses (picture d): its request can't be sent again. */
    @Test
    void replyThatStopsIsWaitedForWhereNoOtherAttemptMayFollow() {
        endpoints.mayRepeat = false;
        endpoints.send("a", "s");
        peer.reply("*3\r\n$1");
        endpoints.loop.advance(100 * PARTIAL_REPLY_TIMEOUT_MS);
        assertTrue(peer.isOpen());
        peer.reply("\r\nv\r\n$-1\r\n$9\r\nutil=0.25\r\n");
        assertEquals(List.of("a written", "a OK v [0.25, NaN]"), endpoints.takeEvents());
    }

    @Test
    void unreadableReplyIsAnErrorOfTheAttempt() {
        endpoints.send("a", "s");
        peer.reply("*3\r\n$99999999\r\n");
        assertFalse(peer.isOpen());
        assertEquals(List.of("a written", "a ERROR", "closed s UNREADABLE"), endpoints.takeEvents());
    }

    @Test
    void resetBehindAWrittenAttemptIsToldAsOne() {
        endpoints.send("a", "s");
        peer.channel.close();
        assertEquals(List.of("a written", "closed s CLOSED_BY_PEER", "a RESET"), endpoints.takeEvents());
    }

    @Test
    void largeValueIsStreamedAndTheConnectionUsedAgain() {
        EmbeddedChannel client = new EmbeddedChannel();
        EndpointSide.Request request = endpoints.new Request("a");
        request.stream = stream();
        endpoints.send(request, "s");
        peer.reply("*3\r\n$" + LARGE + "\r\nx");
        assertFalse(peer.channel.config().isAutoRead());
        request.stream.onTurn(client);
        assertTrue(peer.channel.config().isAutoRead());
        peer.reply("x".repeat(LARGE - 1) + "\r\n$-1\r\n$-1\r\n");
        endpoints.loop.advance(2);
        endpoints.send("b", "s");
        assertTrue(peer.received().endsWith("b\r\n"));
        assertEquals(List.of("a written", "a stream " + LARGE, "b written"), endpoints.takeEvents());
        client.finishAndReleaseAll();
    }

    @Test
    void largeValueThatNobodyWaitsForEndsTheConnection() {
        endpoints.send("a", "s");
        peer.reply("*3\r\n$" + LARGE + "\r\nx");
        assertFalse(peer.isOpen());
        assertEquals(List.of("a written", "a stream " + LARGE, "closed s UNREADABLE"), endpoints.takeEvents());
    }

    private StreamedResponse stream() {
        ResponseSource source = new ResponseSource() {
            @Override
            public void setReading(boolean reading) {
                peer.channel.config().setAutoRead(reading);
            }

            @Override
            public void stop() {
                peer.channel.close();
            }
        };
        ResponseSink sink = new ResponseSink() {
            @Override
            public void respond(RedisMessage message) {}

            @Override
            public boolean hasCommandsBehind() {
                return false;
            }

            @Override
            public void onStreamBegun() {}

            @Override
            public void abort() {}

            @Override
            public void onStreamCompleted() {}
        };
        return new StreamedResponse(
                endpoints.loop, source, sink, LARGE, NO_GATHERING, STREAM_SILENCE_TIMEOUT_MS, (stream, end) -> {});
    }
}
