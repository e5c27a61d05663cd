package quotagateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.redis.ArrayHeaderRedisMessage;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.DefaultBulkStringRedisContent;
import io.netty.handler.codec.redis.DefaultLastBulkStringRedisContent;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.List;
import quotagateway.lifecycle.CloseReason;
import quotagateway.policy.api.CallOutcome;
import quotagateway.resp.LargeValueHandler;
import quotagateway.resp.RespCodec;
import quotagateway.resp.RespFrameTracker;
import quotagateway.resp.ValueMemory;
import quotagateway.streaming.RequestBody;
import quotagateway.streaming.RequestBodySink;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.ReceivedBufferCompactor;

/**
 * One connection to an endpoint, with one attempt or health check in flight at a time. It is used again only after a
 * reply with nothing behind it: a second copy, or the rest of a message, would be taken for the next reply.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter
        implements LargeValueHandler, ResponseSource, RequestBodySink {
    private static final int MAX_REPLY_ELEMENTS = 16;
    /**
     * If nothing more comes of a reply that has begun for this long (ms), another attempt is better than to wait on. A
     * request that can't have another one waits for the rest until its deadline.
     */
    private static final double PARTIAL_REPLY_TIMEOUT_MS = 250;

    private final EndpointPool pool;
    private final PooledEndpoint endpoint;
    private final EventLoopContext loop;
    private final ConnectionUsage usage;
    private final ValueMemory responseMemory;
    private Channel channel;
    private RespFrameTracker frames;
    /** What is in flight, or null. */
    private Attempt attempt;
    /** The large value that comes, or has come while the rest of its reply has not; else null. */
    private StreamedResponse stream;

    private boolean replyBegun;
    /** Whether a whole reply has come since the last end of a read. */
    private boolean replied;

    private CloseReason closeReason = CloseReason.CLOSED_BY_PEER;

    EndpointConnection(
            EndpointPool pool,
            PooledEndpoint endpoint,
            EventLoopContext loop,
            ConnectionUsage usage,
            ValueMemory responseMemory) {
        this.pool = pool;
        this.endpoint = endpoint;
        this.loop = loop;
        this.usage = usage;
        this.responseMemory = responseMemory;
    }

    /** Adds its handlers to the channel that is to be connected; called once. */
    void addTo(Channel newChannel) {
        channel = newChannel;
        channel.pipeline().addLast(ReceivedBufferCompactor.INSTANCE);
        frames = RespCodec.addHandlers(channel.pipeline(), MAX_REPLY_ELEMENTS, responseMemory, this);
        channel.pipeline().addLast(this);
    }

    PooledEndpoint endpoint() {
        return endpoint;
    }

    /** Why it was closed. */
    CloseReason closeReason() {
        return closeReason;
    }

    /** Closes it at once; the first reason counts. */
    void close(CloseReason reason) {
        if (closeReason == CloseReason.CLOSED_BY_PEER) {
            closeReason = reason;
        }
        channel.close();
    }

    // ---- idle ----

    /** Gives it back to its endpoint for the next attempt, which it takes after a rest. */
    void release() {
        usage.onIdle(loop.now());
        if (endpoint.isInUse()) {
            endpoint.addIdle(this);
        } else {
            close(CloseReason.SERVER_NOT_USED);
        }
    }

    /** Nothing has been replied on it, so there is nothing to wait for. */
    void skipRest() {
        usage.skipRest();
    }

    /** Whether it has been idle for longer than the endpoint is seen to bear. */
    boolean isExpired(double now) {
        return usage.isExpired(now);
    }

    /** Whether it takes an attempt now. */
    boolean isReady(double now) {
        return usage.hasRested(now) && channel.isActive();
    }

    boolean isIdleSinceBefore(double timeMs) {
        return usage.isIdleSinceBefore(timeMs);
    }

    // ---- writing ----

    /** Writes an attempt or a health check; its reply, or the connection's end, ends it. */
    void send(Attempt next) {
        attempt = next;
        replyBegun = false;
        next.onSend(this);
        usage.onUse(loop.now());
        if (next.isHealthCheck()) {
            notifyWritten(next, channel.write(RespCodec.command(channel.alloc(), "INFO", "load")));
        } else {
            ArrayRedisMessage command = next.request().encode(channel.alloc());
            if (next.request().body() == null) {
                notifyWritten(next, channel.write(command));
            } else {
                writeWithBody(command, next.request().body());
            }
        }
        loop.flushLater(channel);
    }

    private void writeWithBody(ArrayRedisMessage command, RequestBody body) {
        List<RedisMessage> arguments = command.children();
        int bodyIndex = arguments.size() - 1;
        channel.write(new ArrayHeaderRedisMessage(arguments.size()), channel.voidPromise());
        for (RedisMessage argument : arguments.subList(0, bodyIndex)) {
            channel.write(argument, channel.voidPromise());
        }
        channel.write(new BulkStringHeaderRedisMessage(body.length()), channel.voidPromise());
        ReferenceCountUtil.release(arguments.get(bodyIndex)); // an empty one, in the body's place
        body.forwardTo(this);
    }

    /** Tells the request once the last byte of an attempt is written. */
    private void notifyWritten(Attempt sent, ChannelFuture write) {
        write.addListener(written -> {
            if (written.isSuccess()) {
                if (attempt == sent) {
                    sent.onWritten();
                }
                if (!sent.isHealthCheck()) {
                    sent.request().onAttemptWritten();
                }
            }
        });
    }

    @Override
    public boolean write(ByteBuf part, boolean last) {
        Attempt sent = attempt;
        if (sent == null) { // it has ended, and this connection with it
            part.release();
            return true;
        }
        if (last) {
            notifyWritten(sent, channel.write(new DefaultLastBulkStringRedisContent(part)));
        } else {
            channel.write(new DefaultBulkStringRedisContent(part), channel.voidPromise());
        }
        loop.flushLater(channel);
        return channel.isWritable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (attempt != null && attempt.hasLargeBody()) {
            attempt.request().body().setWritable(channel.isWritable());
        }
    }

    /** Nobody waits for what is in flight any more. A reply to it is still owed, so the connection is closed. */
    void abandonAttempt() {
        if (attempt.hasLargeBody()
                && channel.isActive()) { // else the system goes on sending it, and the endpoint may begin with it
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        attempt = null;
        close(CloseReason.ATTEMPT_GIVEN_UP);
    }

    // ---- replies ----

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        RedisMessage message = (RedisMessage) msg;
        try {
            frames.onMessageComplete(message);
            if (stream != null) { // what is behind the value in its reply; the value has been passed on
                stream = null;
                replied = true;
                return;
            }
            Attempt sent = attempt;
            attempt = null;
            EndpointReply reply = sent == null || !sent.isWritten() ? null : pool.parseReply(sent, message);
            if (reply == null) {
                rejectReply(sent);
                return;
            }
            pool.end(sent, reply);
            usage.recordReply();
            replied = true;
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** A message came that nobody asked for or that is no reply: what comes next cannot be told apart either. */
    private void rejectReply(Attempt sent) {
        if (sent != null) { // replied to before its body was whole, an attempt cannot have been executed
            boolean bodyIncomplete = !sent.isWritten() && sent.hasLargeBody();
            pool.end(sent, EndpointReply.of(bodyIncomplete ? CallOutcome.NO_CONNECTION : CallOutcome.ERROR));
        }
        close(CloseReason.UNASKED);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        boolean partialMessage = frames.pendingBytes() != 0;
        if (partialMessage && stream == null && attempt == null) {
            close(CloseReason.UNASKED);
        } else if (replied) {
            release();
        } else if (partialMessage && attempt != null && !replyBegun) {
            replyBegun = true;
            awaitRestOfReply();
        }
        replied = false;
        loop.flush();
    }

    /** Waits for the rest of a reply, to an attempt or behind a large value, as long as more of it comes. */
    private void awaitRestOfReply() {
        Attempt awaitedAttempt = attempt;
        StreamedResponse awaitedStream = stream;
        long bytesBefore = frames.pendingBytes();
        loop.schedule(PARTIAL_REPLY_TIMEOUT_MS, () -> {
            boolean ended = attempt != awaitedAttempt || stream != awaitedStream;
            if (ended || (awaitedAttempt == null && awaitedStream == null)) {
                return;
            }
            boolean arriving = frames.pendingBytes() != bytesBefore;
            if (arriving || (awaitedAttempt != null && isLastChance(awaitedAttempt))) {
                awaitRestOfReply();
            } else {
                failUnreadable();
            }
        });
    }

    private static boolean isLastChance(Attempt awaited) {
        return !awaited.isHealthCheck() && !awaited.request().mayRepeat(awaited);
    }

    /** What has come is no reply, or not the whole of one: nothing more on this connection can be told apart. */
    private void failUnreadable() {
        Attempt sent = attempt;
        StreamedResponse value = stream;
        attempt = null;
        stream = null;
        close(CloseReason.UNREADABLE);
        if (value != null) {
            value.onSourceFailed();
        }
        if (sent != null) {
            pool.end(sent, EndpointReply.of(CallOutcome.ERROR));
        }
    }

    // ---- large values ----

    @Override
    public int argumentIndex() {
        return 0;
    }

    /** The attempt ends here: from its first bytes on the value is the client's. */
    @Override
    public boolean onValueStarted(int length) {
        Attempt sent = attempt;
        if (sent == null || !sent.isWritten() || sent.isHealthCheck()) {
            return false;
        }
        attempt = null;
        sent.end();
        usage.recordReply();
        stream = sent.request().onStreamStarted(sent, length, this);
        return stream != null;
    }

    @Override
    public void onValueContent(ByteBuf part, boolean last) {
        if (stream == null) {
            part.release(); // its stream has ended, and this connection with it
        } else {
            stream.append(part, last);
            if (last) {
                awaitRestOfReply();
            }
        }
    }

    @Override
    public void setReading(boolean reading) {
        if (channel.config().isAutoRead() != reading) {
            channel.config().setAutoRead(reading);
        }
    }

    @Override
    public void stop() {
        stream = null;
        close(CloseReason.VALUE_NOT_WANTED);
    }

    // ---- the end ----

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.onClosed(this);
        Attempt sent = attempt;
        StreamedResponse value = stream;
        attempt = null;
        stream = null;
        if (value != null) {
            value.onSourceFailed();
        }
        if (sent != null) {
            if (sent.isWritten() && frames.pendingBytes() == 0) {
                usage.recordReset();
            }
            pool.end(sent, EndpointReply.of(sent.isWritten() ? CallOutcome.RESET : CallOutcome.NO_CONNECTION));
        }
        loop.flush();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // behind our own close the codec only complains of what it had not read to its end
        boolean expected = attempt == null && !channel.isActive();
        if (!(cause instanceof IOException) && !expected) {
            loop.logFailure("endpoint connection", cause);
            failUnreadable(); // a fault in this reply, not a failure of the endpoint
        }
        close(CloseReason.ERROR);
    }
}
