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
 * A value too large to stand in memory, on its way from an app server to a client. What has come is written
 * on at once; the server is read only while the client takes it. A stream ends in one way, and once.
 */
public final class StreamedResponse {

    /** With no byte from the server, or none taken by the client, for so long (ms) the value ends there. */
    private static final double STALLED = 5000;

    private static final double CHECK = 500;

    private final EventLoopContext loop;
    private final ResponseSource source;
    private final ResponseSink slot;
    private final Consumer<RequestOutcome> onEnded;
    private final int length;
    /** What came with the first bytes while answers before this one were not written yet. */
    private final ArrayDeque<ByteBuf> early = new ArrayDeque<>();

    private Channel sink;
    private boolean whole;
    private boolean over;
    private double movedAt;
    private Future<?> watch;

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
        movedAt = loop.now();
        watch = loop.schedule(CHECK, this::check);
    }

    private void check() {
        if (sink != null && loop.now() - movedAt > STALLED) {
            onSourceFailed();
        } else if (!over) {
            watch = loop.schedule(CHECK, this::check);
        }
    }

    // ---- from the server ----

    /** Takes the part over. */
    public void content(ByteBuf part, boolean last) {
        if (over) {
            part.release();
            return;
        }
        movedAt = loop.now();
        whole = last;
        if (sink == null) {
            early.add(part);
        } else {
            write(part, last);
        }
        updateReading();
        if (last) {
            source.setReading(true); // the rest of the answer is not the client's
        }
    }

    /** The server's connection has ended, or what comes on it cannot be read: the rest does not come. */
    public void onSourceFailed() {
        if (over || whole) {
            return;
        }
        boolean begun = sink != null;
        end(RequestOutcome.FAULTED);
        source.stop();
        if (begun) {
            slot.abort();
        } else {
            slot.respond(new ErrorRedisMessage("ERR failed"));
        }
    }

    // ---- from the client ----

    /** All answers before this one are written. */
    public void startWriting(Channel channel) {
        if (sink != null || over) {
            return;
        }
        sink = channel;
        movedAt = loop.now();
        sink.write(new BulkStringHeaderRedisMessage(length), sink.voidPromise());
        loop.flushLater(sink);
        while (!early.isEmpty()) {
            ByteBuf part = early.poll();
            write(part, whole && early.isEmpty());
        }
        updateReading();
    }

    /** The client's connection has taken what was written, or has more than enough again. */
    public void updateReading() {
        if (!over && !whole) {
            boolean on = sink != null && sink.isWritable();
            movedAt = on ? loop.now() : movedAt;
            source.setReading(on);
        }
    }

    /** The client has gone: nobody waits for the rest. */
    public void onClientDisconnected() {
        if (!over) {
            end(null);
            source.stop();
        }
    }

    private void write(ByteBuf part, boolean last) {
        if (!last) {
            sink.write(new DefaultBulkStringRedisContent(part), sink.voidPromise());
        } else {
            sink.write(new DefaultLastBulkStringRedisContent(part)).addListener(f -> {
                if (f.isSuccess()) {
                    end(RequestOutcome.FULFILLED);
                }
            });
            slot.onStreamCompleted();
        }
        loop.flushLater(sink);
    }

    private void end(RequestOutcome outcome) {
        if (!over) {
            over = true;
            watch.cancel(false);
            early.forEach(ReferenceCountUtil::release);
            early.clear();
            onEnded.accept(outcome);
        }
    }
}
