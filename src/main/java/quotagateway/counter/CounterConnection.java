package quotagateway.counter;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import quotagateway.policy.api.CallOutcome;
import quotagateway.resp.RespCodec;
import quotagateway.resp.RespFrameTracker;
import quotagateway.transport.ConfiguredAddress;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.ExponentialBackoff;
import quotagateway.transport.ReceivedBufferCompactor;

/**
 * A connection to the counter, which is opened anew whenever it ends, as long as its address is the configured one.
 * Replies come in the order of the commands. What is called while it comes up waits for it.
 */
final class CounterConnection {
    /** Silence (ms) behind which a ping is sent: the counter ends idle connections after 10 s at the most. */
    private static final double PING_AFTER_MS = 1000;
    /** A connection that owes a reply for longer (ms) may be dead: its calls were completed by their timeout. */
    private static final double DEAD_AFTER_MS = 400;
    /**
     * The wait before the second attempt to connect in a row; the first is made at once, as one connection that ended
     * is no sign that the counter is away. It is drawn, so that not all nodes come at once, and short against the
     * silence behind which the policy calls again by itself.
     */
    private static final double RECONNECT_DELAY_MS = 200;

    private static final double MAX_RECONNECT_DELAY_MS = 800;

    private final EventLoopContext loop;
    private final CounterClient client;
    private final ConfiguredAddress address;
    private final ExponentialBackoff backoff = new ExponentialBackoff(RECONNECT_DELAY_MS, MAX_RECONNECT_DELAY_MS);
    /** Calls that were written and have no reply, in their order; some may be completed by their timeout. */
    private final ArrayDeque<PendingCall> unanswered = new ArrayDeque<>();
    /** Calls that were made while the connection comes up, in their order. */
    private final Set<PendingCall> queued = new LinkedHashSet<>();

    private boolean connecting;
    /** Null unless connected. */
    private Channel channel;

    private RespFrameTracker frames;
    /** Whether the counter has replied since the last attempt to connect: the next one is then made at once. */
    private boolean reconnectAtOnce = true;

    private double lastUsedAt;
    /** Whether another connection has taken the place of this one, which ends with its last reply. */
    private boolean closing;

    CounterConnection(EventLoopContext loop, CounterClient client, ConfiguredAddress address) {
        this.loop = loop;
        this.client = client;
        this.address = address;
    }

    boolean isConnected() {
        return channel != null;
    }

    /** Whether calls are taken: the connection is up, or about to be. */
    boolean acceptsCalls() {
        return channel != null || connecting;
    }

    /** Whether a call on this connection has no outcome yet. */
    boolean hasOpenCalls() {
        for (PendingCall call : unanswered) {
            if (!call.isCompleted()) {
                return true;
            }
        }
        return !queued.isEmpty();
    }

    /** Whether part of a reply has come, and not its end. */
    boolean hasPartialReply() {
        return channel != null && frames.pendingBytes() != 0;
    }

    /** Opens the connection, unless its address was replaced meanwhile. */
    void connect() {
        if (!client.isCurrent(address)) {
            return;
        }
        connecting = true;
        ChannelFuture connected = client.connector().connect(address.address(), new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel opened) {
                opened.pipeline().addLast(ReceivedBufferCompactor.INSTANCE);
                frames = RespCodec.addHandlers(opened.pipeline(), CounterProtocol.MAX_REPLY_ELEMENTS);
                opened.pipeline().addLast(new ReplyHandler());
            }
        });
        connected.addListener(result -> onConnectEnded(connected));
    }

    private void onConnectEnded(ChannelFuture connected) {
        connecting = false;
        List<PendingCall> waiting = new ArrayList<>(queued);
        queued.clear();
        if (connected.isSuccess()) {
            channel = connected.channel();
            lastUsedAt = loop.now();
            waiting.forEach(this::write);
            loop.flush();
            client.onConnected();
            closeIfNothingOwed();
        } else {
            waiting.forEach(call -> client.complete(call, CallOutcome.NO_CONNECTION));
            loop.flush();
            reconnect();
        }
    }

    private void reconnect() {
        if (reconnectAtOnce) {
            reconnectAtOnce = false;
            backoff.reset();
            loop.execute(this::connect);
        } else {
            loop.schedule(client.nextReconnectDelayMs(backoff), this::connect);
        }
    }

    /** Sends a call, or has it wait for the connection: one that broke is back in about a round trip. */
    void send(PendingCall call) {
        if (channel == null) {
            queued.add(call);
        } else {
            write(call);
        }
    }

    private void write(PendingCall call) {
        unanswered.add(call);
        lastUsedAt = call.sentAt();
        channel.write(RespCodec.command(channel.alloc(), call.command()))
                .addListener(written -> call.setWritten(written.isSuccess()));
        loop.flushLater(channel);
    }

    /** Takes a call back that waits for the connection; false where it does not. */
    boolean removeQueued(PendingCall call) {
        return queued.remove(call);
    }

    /** Ends a connection that owes a reply for too long, and sends a ping on one that is idle. */
    void checkLiveness() {
        if (channel == null) {
            return;
        }
        PendingCall oldest = unanswered.peek();
        if (oldest != null && loop.now() - oldest.sentAt() > DEAD_AFTER_MS) {
            channel.close();
        } else if (loop.now() - lastUsedAt > PING_AFTER_MS) {
            write(PendingCall.ping(this, loop.now()));
        }
    }

    /**
     * Another connection has taken the place of this one: it closes once no reply is owed on it, also where it comes up
     * only then. A counter that has fallen silent is not waited for.
     */
    void closeAfterReplies() {
        closing = true;
        closeIfNothingOwed();
        loop.schedule(DEAD_AFTER_MS, () -> {
            if (channel != null) {
                channel.close();
            }
        });
    }

    private void closeIfNothingOwed() {
        if (closing && channel != null && unanswered.isEmpty()) {
            channel.close();
        }
    }

    /**
     * The oldest call's reply cannot be read: its amount was added, but the total is unknown. The replies behind it
     * can no longer be told apart, so a new connection takes the place of this one at once.
     */
    void failReplies() {
        if (!unanswered.isEmpty()) {
            client.complete(unanswered.poll(), CallOutcome.ERROR);
        }
        failUnanswered();
        channel.close();
    }

    /** The counter may have executed what was written. */
    private void failUnanswered() {
        for (PendingCall call = unanswered.poll(); call != null; call = unanswered.poll()) {
            client.complete(call, call.isWritten() ? CallOutcome.RESET : CallOutcome.NO_CONNECTION);
        }
    }

    private void onReply(ChannelHandlerContext ctx, RedisMessage reply) {
        frames.onMessageComplete(reply);
        reconnectAtOnce = true;
        PendingCall call = unanswered.poll(); // late or not: each reply belongs to the oldest call
        if (call == null) {
            ctx.close();
            return;
        }
        if (!completeByReply(call, reply)) {
            unanswered.addFirst(call);
            failReplies();
        }
        closeIfNothingOwed();
    }

    /** Completes a call by its reply; false where that cannot be read, and so no reply behind it can be trusted. */
    private boolean completeByReply(PendingCall call, RedisMessage reply) {
        if (call.isPing()) {
            return reply instanceof SimpleStringRedisMessage;
        }
        if (CounterProtocol.isRejection(reply)) {
            client.complete(call, CallOutcome.FULL); // nothing was added
            return true;
        }
        double total = CounterProtocol.total(reply);
        if (Double.isNaN(total)) {
            return false;
        }
        client.completeWithTotal(call, total);
        return true;
    }

    private final class ReplyHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                onReply(ctx, (RedisMessage) message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            loop.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            channel = null;
            failUnanswered();
            reconnect();
            loop.flush();
        }

        /**
         * The codec may throw behind the end of a connection, for an array that is half read. By then the calls may
         * be those of the next connection, whose oldest must not be failed by it.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() != channel) {
                return;
            }
            if (!(cause instanceof IOException)) {
                loop.logFailure("counter", cause);
                failReplies();
            }
            ctx.close();
        }
    }
}
