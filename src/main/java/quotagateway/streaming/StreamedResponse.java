package quotagateway.streaming;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.DefaultBulkStringRedisContent;
import io.netty.handler.codec.redis.DefaultLastBulkStringRedisContent;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import quotagateway.lifecycle.StreamEnd;
import quotagateway.transport.EventLoopContext;

/**
 * A response that is too large to be held in memory in every case and is streamed from an endpoint to a client. From
 * its turn on, when all earlier responses have been written, it is gathered within {@link GatherLimits}; if it breaks
 * off by then, it fails like any other. Then parts are written as they arrive; the endpoint is read only while the
 * client's connection is writable.
 *
 * <p>A client has no least pace: that its connection is not writable does not tell whether it reads, as the system's
 * buffers may hold all of a value. So only the endpoint's silence ends a stream, and only while the endpoint is read.
 *
 * <p>A stream ends once (see {@link StreamEnd}).
 */
public final class StreamedResponse {
    /** Is told once that a stream has ended. */
    @FunctionalInterface
    public interface EndListener {
        /** The stream has ended for this reason; what it says of itself still holds. */
        void onStreamEnded(StreamedResponse stream, StreamEnd end);
    }

    private static final double SILENCE_CHECK_INTERVAL_MS = 500;
    /** Delay (ms) after which the loop has read all connections once, if a task without delay follows it. */
    private static final double NEXT_ITERATION_MS = 1;

    private final EventLoopContext loop;
    private final ResponseSource source;
    private final ResponseSink sink;
    private final EndListener listener;
    private final int length;
    private final double silenceTimeoutMs;
    /** Parts that arrived before the first byte was written. */
    private final ArrayDeque<ByteBuf> bufferedParts = new ArrayDeque<>();

    /** The client's connection; null until all earlier responses have been written. */
    private Channel client;

    private GatherLimits gatherLimits;
    private double turnAtMs;
    private Future<?> beginTimer;
    /** Whether the first byte has been written. */
    private boolean begun;

    private boolean reading = true;
    private boolean fullyReceived;
    private boolean ended;
    /** Bytes that were written to the client's connection, whether or not the system has taken them over. */
    private int writtenBytes;
    /** When the last part arrived, or reading was resumed after a pause. */
    private double lastReceivedMs;
    /** When reading was paused last. */
    private double pausedAtMs;

    private Future<?> silenceCheck;

    /**
     * Creates a stream of which only the length has arrived.
     *
     * @param sink the position of the response on the client's connection
     * @param length length of the response in bytes
     * @param gatherLimits how much is gathered before the first byte is written
     * @param silenceTimeoutMs time (ms) without a byte from the endpoint, while read, after which the stream fails
     * @param listener is told of the end
     */
    public StreamedResponse(
            EventLoopContext loop,
            ResponseSource source,
            ResponseSink sink,
            int length,
            GatherLimits gatherLimits,
            double silenceTimeoutMs,
            EndListener listener) {
        this.loop = loop;
        this.source = source;
        this.sink = sink;
        this.length = length;
        this.gatherLimits = gatherLimits;
        this.silenceTimeoutMs = silenceTimeoutMs;
        this.listener = listener;
        lastReceivedMs = loop.now();
        silenceCheck = loop.schedule(SILENCE_CHECK_INTERVAL_MS, this::checkSilence);
    }

    private void checkSilence() {
        if (endpointSilentMs() > silenceTimeoutMs) {
            fail(StreamEnd.ENDPOINT_SILENT);
        }
        if (!ended) {
            silenceCheck = loop.schedule(SILENCE_CHECK_INTERVAL_MS, this::checkSilence);
        }
    }

    /** Returns the length of the value (bytes). */
    public int length() {
        return length;
    }

    /** Returns how many bytes of the value were written to the client's connection. */
    public int writtenBytes() {
        return writtenBytes;
    }

    /** Returns how long (ms) the endpoint has not been read, as the client takes no more for now; 0 if it is read. */
    public double clientBlockedMs() {
        return reading ? 0 : loop.now() - pausedAtMs;
    }

    /** Returns how long (ms) the endpoint has sent nothing though it is read; 0 if it is not read. */
    public double endpointSilentMs() {
        return reading && !fullyReceived ? loop.now() - lastReceivedMs : 0;
    }

    // ---- from the endpoint ----

    /** Takes ownership of the next part. */
    public void append(ByteBuf part, boolean last) {
        if (ended) {
            part.release();
            return;
        }
        lastReceivedMs = loop.now();
        fullyReceived = last;
        if (begun) {
            write(part, last);
        } else {
            bufferedParts.add(part);
            if (client != null && isGathered()) {
                begin();
            }
        }
        updateReading();
        if (last) {
            setReading(true); // later input on that connection does not belong to this stream
        }
    }

    /** Called when the rest will not arrive, as the endpoint's connection has ended or its input is malformed. */
    public void onSourceFailed() {
        fail(StreamEnd.ENDPOINT_CLOSED);
    }

    private void fail(StreamEnd reason) {
        if (ended || fullyReceived) {
            return;
        }
        end(reason);
        source.stop();
        if (begun) {
            sink.abort();
        } else {
            sink.respond(new ErrorRedisMessage("ERR failed"));
        }
    }

    // ---- from the client's connection ----

    /** Called when all responses before this one have been written to the client; further calls have no effect. */
    public void onTurn(Channel channel) {
        if (client != null || ended) {
            return;
        }
        client = channel;
        turnAtMs = loop.now();
        updateReading();
        if (isGathered()) {
            begin();
        } else { // first read what has arrived while reading was paused: it may be the end
            beginTimer = loop.schedule(NEXT_ITERATION_MS, () -> beginTimer = loop.schedule(0, this::beginIfDue));
        }
    }

    /** Moves the time at which the first byte is written at the latest (ms of the loop's clock) to an earlier one. */
    public void bringBeginForwardTo(double latestBeginAtMs) {
        gatherLimits = new GatherLimits(
                gatherLimits.memory(),
                gatherLimits.aloneMs(),
                gatherLimits.withCommandsBehindMs(),
                Math.min(gatherLimits.latestBeginAtMs(), latestBeginAtMs));
        if (client != null && !begun && !ended) {
            cancelBeginTimer();
            beginIfDue();
        }
    }

    /** Returns whether there is no more to gather, or no memory to gather it. */
    private boolean isGathered() {
        return fullyReceived || !gatherLimits.memory().hasRoom(sink.hasCommandsBehind());
    }

    /** Begins to write if the time to gather is over; commands that have arrived meanwhile may have extended it. */
    private void beginIfDue() {
        double beginAtMs = gatherLimits.beginAtMs(turnAtMs, sink.hasCommandsBehind());
        if (loop.now() >= beginAtMs) {
            begin();
        } else {
            beginTimer = loop.schedule(beginAtMs - loop.now(), this::beginIfDue);
        }
    }

    private void begin() {
        begun = true;
        cancelBeginTimer();
        client.write(new BulkStringHeaderRedisMessage(length), client.voidPromise());
        loop.flushLater(client);
        sink.onStreamBegun();
        while (!bufferedParts.isEmpty()) {
            ByteBuf part = bufferedParts.poll();
            write(part, fullyReceived && bufferedParts.isEmpty());
        }
        updateReading();
    }

    private void cancelBeginTimer() {
        if (beginTimer != null) {
            beginTimer.cancel(false);
        }
    }

    /** Returns whether the first byte has been written. */
    public boolean isBegun() {
        return begun;
    }

    /** Reads from the endpoint while more can be gathered or written, and pauses reading otherwise. */
    public void updateReading() {
        if (!ended && !fullyReceived) {
            setReading(client != null && (!begun || client.isWritable()));
        }
    }

    private void setReading(boolean read) {
        if (read && !reading) {
            lastReceivedMs = loop.now();
        } else if (!read && reading) {
            pausedAtMs = loop.now();
        }
        reading = read;
        source.setReading(read);
    }

    /** Called when the client has disconnected, so that the rest is not needed. */
    public void onClientDisconnected() {
        if (!ended) {
            end(StreamEnd.CLIENT_GONE);
            source.stop();
        }
    }

    private void write(ByteBuf part, boolean last) {
        writtenBytes += part.readableBytes();
        if (!last) {
            client.write(new DefaultBulkStringRedisContent(part), client.voidPromise());
        } else {
            client.write(new DefaultLastBulkStringRedisContent(part))
                    .addListener(written -> end(written.isSuccess() ? StreamEnd.COMPLETE : StreamEnd.CLIENT_GONE));
            sink.onStreamCompleted();
        }
        loop.flushLater(client);
    }

    private void end(StreamEnd reason) {
        if (!ended) {
            ended = true;
            silenceCheck.cancel(false);
            cancelBeginTimer();
            bufferedParts.forEach(ReferenceCountUtil::release);
            bufferedParts.clear();
            listener.onStreamEnded(this, reason);
        }
    }
}
