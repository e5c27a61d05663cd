package quotagateway.streaming;

import io.netty.buffer.ByteBuf;
import io.netty.util.ReferenceCountUtil;
import quotagateway.resp.RespCodec;

/**
 * A request body that is too large to be held in memory and is streamed from a client to an endpoint. Its first part is
 * buffered until an attempt takes the body; the rest is forwarded as it arrives. There is only one such attempt: once
 * the buffered part has been written to an endpoint, the request cannot be sent to another one.
 */
public final class RequestBody {
    /** Most bytes buffered before an endpoint is chosen; a body up to this size is received as part of its command. */
    public static final int MAX_BUFFERED_BYTES = RespCodec.MAX_BUFFERED_VALUE_BYTES;

    /** What is done with incoming parts. */
    private enum State {
        /** Parts are kept for the next attempt. */
        BUFFERING,
        /** Parts are written to the endpoint of the only attempt. */
        FORWARDING,
        /** Parts are dropped. */
        DISCARDING
    }

    private final int length;
    private final ArrivalTimes arrivalTimes;
    private final Runnable onReadingChanged;
    /** The first part of the body until an attempt takes it, in one buffer of about its size; null for none. */
    private ByteBuf buffer;

    private State state = State.BUFFERING;
    /** Whether the last byte has arrived, which is that of the line end behind the value. */
    private boolean complete;

    private double completedAtMs;
    private RequestBodySink sink;
    private boolean sinkWritable = true;

    /**
     * Creates a body of which no part has arrived yet.
     *
     * @param length length of the complete body in bytes
     * @param arrivalTimes those of the client's connection
     * @param onReadingChanged run whenever {@link #wantsMore} may have changed
     */
    public RequestBody(int length, ArrivalTimes arrivalTimes, Runnable onReadingChanged) {
        this.length = length;
        this.arrivalTimes = arrivalTimes;
        this.onReadingChanged = onReadingChanged;
    }

    /** Returns the length of the complete body in bytes. */
    public int length() {
        return length;
    }

    /** Takes ownership of the next part that has arrived from the client; the last one may be empty. */
    public void append(ByteBuf part, boolean last) {
        if (last) {
            complete = true;
            completedAtMs = arrivalTimes.receivedAtMs();
        }
        switch (state) {
            case BUFFERING -> {
                buffer(part);
                onReadingChanged.run();
            }
            case FORWARDING -> {
                sinkWritable = sink.write(part, last);
                onReadingChanged.run();
            }
            case DISCARDING -> part.release();
        }
    }

    private void buffer(ByteBuf part) {
        try {
            if (buffer == null) {
                buffer = part.alloc().buffer(part.readableBytes());
            }
            buffer.writeBytes(part);
        } finally {
            part.release();
        }
    }

    private int bufferedBytes() {
        return buffer == null ? 0 : buffer.readableBytes();
    }

    /** Returns whether the last byte has arrived from the client. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns whether enough has arrived to choose an endpoint. */
    public boolean isReadyToForward() {
        return bufferedBytes() >= MAX_BUFFERED_BYTES || isComplete();
    }

    /** Returns whether more should be read from the client now. */
    public boolean wantsMore() {
        return switch (state) {
            case BUFFERING -> bufferedBytes() < MAX_BUFFERED_BYTES;
            case FORWARDING -> sinkWritable;
            case DISCARDING -> true;
        };
    }

    /**
     * Returns when the last byte arrived; before that, the earliest time at which it can have arrived unseen, or will.
     */
    public double lastByteAtMs() {
        return complete ? completedAtMs : arrivalTimes.nextByteAtMs();
    }

    /** Returns whether no attempt can get the complete body any more, as one has taken it or it was discarded. */
    public boolean isConsumed() {
        return state != State.BUFFERING;
    }

    /** Writes the buffered part to an endpoint, and later parts as they arrive. */
    public void forwardTo(RequestBodySink endpoint) {
        if (state != State.DISCARDING) {
            state = State.FORWARDING;
            sink = endpoint;
        }
        if (buffer != null) {
            ByteBuf firstPart = buffer;
            buffer = null;
            sinkWritable = sink.write(firstPart, complete);
        }
        onReadingChanged.run();
    }

    /** Called when the endpoint becomes able or unable to accept more. */
    public void setWritable(boolean writable) {
        sinkWritable = writable;
        onReadingChanged.run();
    }

    /** Drops the buffered part and all later ones, which are still read, as the client's next command follows them. */
    public void discard() {
        if (state != State.DISCARDING) {
            state = State.DISCARDING;
            sink = null;
            ReferenceCountUtil.release(buffer);
            buffer = null;
            onReadingChanged.run();
        }
    }
}
