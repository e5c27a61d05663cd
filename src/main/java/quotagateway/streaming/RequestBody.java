package quotagateway.streaming;

import io.netty.buffer.ByteBuf;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import quotagateway.resp.RespCodec;

/**
 * A request's value too large to stand in memory, on its way from a client to an app server. Its first part
 * is kept until an attempt takes it, and the rest passes through: so there is one such attempt, and a request
 * whose kept part is gone is not sent again.
 */
public final class RequestBody {

    /** So much is kept (bytes) before a server is looked for, and no more. */
    public static final int MAX_BUFFERED_BYTES = RespCodec.MAX_BUFFERED_VALUE_BYTES;

    private final int length;
    private final double begunAt;
    private final Runnable wanted;
    private final ArrayDeque<ByteBuf> kept = new ArrayDeque<>();
    private int got;
    private int bytes;
    private RequestBodySink sink;
    private boolean taken;
    private boolean dropped;
    private boolean setWritable = true;

    /** The last is run when the client should be read on, or no further. */
    public RequestBody(int length, double now, Runnable wanted) {
        this.length = length;
        this.wanted = wanted;
        begunAt = now;
    }

    public int length() {
        return length;
    }

    /** A part has come, which is this one's to release. */
    public void content(ByteBuf part) {
        got += part.readableBytes();
        if (dropped) {
            part.release();
        } else if (sink != null) {
            setWritable = sink.write(part, isComplete());
            wanted.run();
        } else {
            bytes += part.readableBytes();
            kept.add(part);
            wanted.run();
        }
    }

    public boolean isComplete() {
        return got == length;
    }

    /** Enough has come to look for a server. */
    public boolean isReadyToForward() {
        return bytes >= MAX_BUFFERED_BYTES || isComplete();
    }

    /** Whether more should be read from the client. */
    public boolean wantsMore() {
        return dropped || (sink != null ? setWritable : bytes < MAX_BUFFERED_BYTES);
    }

    /** How long (ms) the rest takes at the pace so far. */
    public double remainingMs(double now) {
        return got == 0 ? 0 : (now - begunAt) / got * (length - got);
    }

    /** An attempt has begun to take it, or it is of no more use: it cannot be sent as if whole. */
    public boolean isConsumed() {
        return taken || dropped;
    }

    /** From here on all goes to this server. */
    public void forwardTo(RequestBodySink server) {
        taken = true;
        sink = server;
        while (!kept.isEmpty()) {
            ByteBuf part = kept.poll();
            setWritable = sink.write(part, isComplete() && kept.isEmpty());
        }
        wanted.run();
    }

    /** The server takes more, or no more for now. */
    public void setWritable(boolean on) {
        setWritable = on;
        wanted.run();
    }

    /** What has not come yet is read and dropped: the client's next command is behind it. */
    public void discard() {
        if (!dropped) {
            dropped = true;
            sink = null;
            kept.forEach(ReferenceCountUtil::release);
            kept.clear();
            wanted.run();
        }
    }
}
