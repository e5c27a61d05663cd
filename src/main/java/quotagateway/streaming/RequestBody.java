package quotagateway.streaming;

import io.netty.buffer.ByteBuf;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import quotagateway.resp.RespCodec;

/**
 * A request's body that is too large to be held in memory, on its way from a client to an endpoint. Its first part is
 * buffered until an attempt takes it, and the rest is passed on as it comes. So there is one such attempt: once the
 * buffered part has been written to an endpoint, the request cannot be sent to another one.
 */
public final class RequestBody {
    /** So much is buffered before an endpoint is looked for, and no more; a smaller body comes with its command. */
    public static final int MAX_BUFFERED_BYTES = RespCodec.MAX_BUFFERED_VALUE_BYTES;

    /** What becomes of the parts that come. */
    private enum State {
        /** They are kept for the attempt to come. */
        BUFFERING,
        /** They go to the endpoint of the one attempt. */
        FORWARDING,
        /** They are dropped. */
        DISCARDING
    }

    private final int length;
    private final double startedAtMs;
    private final Runnable onReadingChanged;
    private final ArrayDeque<ByteBuf> buffer = new ArrayDeque<>();
    private State state = State.BUFFERING;
    private int receivedBytes;
    private int bufferedBytes;
    private RequestBodySink sink;
    private boolean sinkWritable = true;

    /**
     * A body of which nothing has come yet.
     *
     * @param length in bytes
     * @param now the loop's clock (ms)
     * @param onReadingChanged run whenever {@link #wantsMore} may have changed
     */
    public RequestBody(int length, double now, Runnable onReadingChanged) {
        this.length = length;
        this.onReadingChanged = onReadingChanged;
        startedAtMs = now;
    }

    /** The length of the whole body in bytes. */
    public int length() {
        return length;
    }

    /** Takes over the next part that has come from the client. */
    public void append(ByteBuf part) {
        receivedBytes += part.readableBytes();
        switch (state) {
            case BUFFERING -> {
                bufferedBytes += part.readableBytes();
                buffer.add(part);
                onReadingChanged.run();
            }
            case FORWARDING -> {
                sinkWritable = sink.write(part, isComplete());
                onReadingChanged.run();
            }
            case DISCARDING -> part.release();
        }
    }

    /** Whether the last byte has come from the client. */
    public boolean isComplete() {
        return receivedBytes == length;
    }

    /** Whether enough has come to look for an endpoint. */
    public boolean isReadyToForward() {
        return bufferedBytes >= MAX_BUFFERED_BYTES || isComplete();
    }

    /** Whether more should be read from the client now. */
    public boolean wantsMore() {
        return switch (state) {
            case BUFFERING -> bufferedBytes < MAX_BUFFERED_BYTES;
            case FORWARDING -> sinkWritable;
            case DISCARDING -> true;
        };
    }

    /** How long (ms) the rest will take to come, at the pace so far. */
    public double remainingMs(double now) {
        return receivedBytes == 0 ? 0 : (now - startedAtMs) / receivedBytes * (length - receivedBytes);
    }

    /** Whether no attempt can have it whole any more: one has begun to take it, or it is discarded. */
    public boolean isConsumed() {
        return state != State.BUFFERING;
    }

    /** Writes what is buffered to an endpoint, and all that comes from now on. */
    public void forwardTo(RequestBodySink endpoint) {
        if (state != State.DISCARDING) {
            state = State.FORWARDING;
            sink = endpoint;
        }
        while (!buffer.isEmpty()) {
            ByteBuf part = buffer.poll();
            sinkWritable = sink.write(part, isComplete() && buffer.isEmpty());
        }
        onReadingChanged.run();
    }

    /** The endpoint takes more, or no more for now. */
    public void setWritable(boolean writable) {
        sinkWritable = writable;
        onReadingChanged.run();
    }

    /** Drops what has come, and what still comes: it is read, as the client's next command is behind it. */
    public void discard() {
        if (state != State.DISCARDING) {
            state = State.DISCARDING;
            sink = null;
            buffer.forEach(ReferenceCountUtil::release);
            buffer.clear();
            onReadingChanged.run();
        }
    }
}
