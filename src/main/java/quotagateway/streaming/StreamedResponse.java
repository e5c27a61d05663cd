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
 * A response that is too large to be held in memory, on its way from an endpoint to a client. What comes is written
 * on at once; the endpoint is read only while the client takes what is written.
 *
 * <p>A stream ends once, in one of three ways: it is written whole ({@code FULFILLED}), its source breaks off or it
 * stalls ({@code FAULTED}), or its client disconnects (no outcome, as nobody hears of it).
 */
public final class StreamedResponse {
    /** A stream ends if for so long (ms) no byte has come from the endpoint or none was taken by the client. */
    private static final double STALL_TIMEOUT_MS = 5000;

    private static final double STALL_CHECK_INTERVAL_MS = 500;

    private final EventLoopContext loop;
    private final ResponseSource source;
    private final ResponseSink slot;
    private final Consumer<RequestOutcome> onEnded;
    private final int length;
    /** What has come while responses before this one were not written yet. */
    private final ArrayDeque<ByteBuf> earlyParts = new ArrayDeque<>();

    /** The client's connection; null until it is this response's turn. */
    private Channel client;

    private boolean received;
    private boolean ended;
    private double lastProgressMs;
    private Future<?> stallCheck;

    /**
     * A stream of which nothing has come but its length.
     *
     * @param slot its place on the client's connection
     * @param length in bytes
     * @param onEnded told how it has ended, null for a client that has disconnected
     */
    public StreamedResponse(
            EventLoopContext loop,
            ResponseSource source,
            ResponseSink slot,
            int length,
            Consumer<RequestOutcome> onEnded) {
        this.loop = loop;
        this.source = source;
        this.slot = slot;
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

    /** Takes over the next part. */
    public void append(ByteBuf part, boolean last) {
        if (ended) {
            part.release();
            return;
        }
        lastProgressMs = loop.now();
        received = last;
        if (client == null) {
            earlyParts.add(part);
        } else {
            write(part, last);
        }
        updateReading();
        if (last) {
            source.setReading(true); // what follows on that connection is not for the client
        }
    }

    /** The rest does not come: the endpoint's connection has ended, or cannot be read any more. */
    public void onSourceFailed() {
        if (ended || received) {
            return;
        }
        boolean writingStarted = client != null;
        end(RequestOutcome.FAULTED);
        source.stop();
        if (writingStarted) {
            slot.abort();
        } else {
            slot.respond(new ErrorRedisMessage("ERR failed"));
        }
    }

    // ---- from the client's connection ----

    /** All responses before this one have been written to the client; further calls change nothing. */
    public void startWriting(Channel channel) {
        if (client != null || ended) {
            return;
        }
        client = channel;
        lastProgressMs = loop.now();
        client.write(new BulkStringHeaderRedisMessage(length), client.voidPromise());
        loop.flushLater(client);
        while (!earlyParts.isEmpty()) {
            ByteBuf part = earlyParts.poll();
            write(part, received && earlyParts.isEmpty());
        }
        updateReading();
    }

    /** Has the endpoint read on while the client takes what is written, and not otherwise. */
    public void updateReading() {
        if (!ended && !received) {
            boolean writable = client != null && client.isWritable();
            if (writable) {
                lastProgressMs = loop.now();
            }
            source.setReading(writable);
        }
    }

    /** Nobody waits for the rest any more. */
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
            slot.onStreamCompleted();
        }
        loop.flushLater(client);
    }

    private void end(RequestOutcome outcome) {
        if (!ended) {
            ended = true;
            stallCheck.cancel(false);
            earlyParts.forEach(ReferenceCountUtil::release);
            earlyParts.clear();
            onEnded.accept(outcome);
        }
    }
}
