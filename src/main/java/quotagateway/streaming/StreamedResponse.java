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
import java.util.function.Consumer;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.transport.EventLoopContext;

/**
 * A response that is too large to be held in memory and is streamed from an endpoint to a client. Parts are written as
 * they arrive; the endpoint is read only while the client's connection is writable.
 *
 * <p>A stream ends once, in one of three ways: it is written completely ({@code FULFILLED}), its source fails or the
 * stream stalls ({@code FAULTED}), or its client disconnects (no outcome, as no response reaches the client).
 */
public final class StreamedResponse {
    /** Time (ms) without a byte from the endpoint or without a byte taken by the client after which a stream fails. */
    private static final double STALL_TIMEOUT_MS = 5000;

    private static final double STALL_CHECK_INTERVAL_MS = 500;

    private final EventLoopContext loop;
    private final ResponseSource source;
    private final ResponseSink sink;
    private final Consumer<RequestOutcome> onEnded;
    private final int length;
    /** Parts that arrived before all earlier responses were written. */
    private final ArrayDeque<ByteBuf> bufferedParts = new ArrayDeque<>();

    /** The client's connection; null until all earlier responses have been written. */
    private Channel client;

    private boolean fullyReceived;
    private boolean ended;
    private double lastProgressMs;
    private Future<?> stallCheck;

    /**
     * Creates a stream of which only the length has arrived.
     *
     * @param sink the position of the response on the client's connection
     * @param length length of the response in bytes
     * @param onEnded called with the outcome when the stream ends, with null if the client has disconnected
     */
    public StreamedResponse(
            EventLoopContext loop,
            ResponseSource source,
            ResponseSink sink,
            int length,
            Consumer<RequestOutcome> onEnded) {
        this.loop = loop;
        this.source = source;
        this.sink = sink;
        this.onEnded = onEnded;
        this.length = length;
        lastProgressMs = loop.now();
        stallCheck = loop.schedule(STALL_CHECK_INTERVAL_MS, this::checkProgress);
    }

    private void checkProgress() {
        if (client != null && loop.now() - lastProgressMs > STALL_TIMEOUT_MS) {
            onSourceFailed();
        } else if (!ended) {
            stallCheck = loop.schedule(STALL_CHECK_INTERVAL_MS, this::checkProgress);
        }
    }

    // ---- from the endpoint ----

    /** Takes ownership of the next part. */
    public void append(ByteBuf part, boolean last) {
        if (ended) {
            part.release();
            return;
        }
        lastProgressMs = loop.now();
        fullyReceived = last;
        if (client == null) {
            bufferedParts.add(part);
        } else {
            write(part, last);
        }
        updateReading();
        if (last) {
            source.setReading(true); // later input on that connection does not belong to this stream
        }
    }

    /** Called when the rest will not arrive, as the endpoint's connection has ended or its input is malformed. */
    public void onSourceFailed() {
        if (ended || fullyReceived) {
            return;
        }
        boolean writingStarted = client != null;
        end(RequestOutcome.FAULTED);
        source.stop();
        if (writingStarted) {
            sink.abort();
        } else {
            sink.respond(new ErrorRedisMessage("ERR failed"));
        }
    }

    // ---- from the client's connection ----

    /** Called when all responses before this one have been written to the client; further calls have no effect. */
    public void startWriting(Channel channel) {
        if (client != null || ended) {
            return;
        }
        client = channel;
        lastProgressMs = loop.now();
        client.write(new BulkStringHeaderRedisMessage(length), client.voidPromise());
        loop.flushLater(client);
        while (!bufferedParts.isEmpty()) {
            ByteBuf part = bufferedParts.poll();
            write(part, fullyReceived && bufferedParts.isEmpty());
        }
        updateReading();
    }

    /** Reads from the endpoint while the client's connection is writable, and pauses reading otherwise. */
    public void updateReading() {
        if (!ended && !fullyReceived) {
            boolean writable = client != null && client.isWritable();
            if (writable) {
                lastProgressMs = loop.now();
            }
            source.setReading(writable);
        }
    }

    /** Called when the client has disconnected, so that the rest is not needed. */
    public void onClientDisconnected() {
        if (!ended) {
            end(null);
            source.stop();
        }
    }

    private void write(ByteBuf part, boolean last) {
        if (!last) {
            client.write(new DefaultBulkStringRedisContent(part), client.voidPromise());
        } else {
            client.write(new DefaultLastBulkStringRedisContent(part)).addListener(written -> {
                if (written.isSuccess()) {
                    end(RequestOutcome.FULFILLED);
                }
            });
            sink.onStreamCompleted();
        }
        loop.flushLater(client);
    }

    private void end(RequestOutcome outcome) {
        if (!ended) {
            ended = true;
            stallCheck.cancel(false);
            bufferedParts.forEach(ReferenceCountUtil::release);
            bufferedParts.clear();
            onEnded.accept(outcome);
        }
    }
}
