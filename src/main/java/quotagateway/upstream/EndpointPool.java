package quotagateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.redis.ArrayHeaderRedisMessage;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.DefaultBulkStringRedisContent;
import io.netty.handler.codec.redis.DefaultLastBulkStringRedisContent;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import quotagateway.config.GatewayConfig;
import quotagateway.lifecycle.CloseReason;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.resp.LargeValueHandler;
import quotagateway.resp.RespCodec;
import quotagateway.resp.RespFrameTracker;
import quotagateway.streaming.RequestBodySink;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.PackedAddress;
import quotagateway.transport.Transport;

/**
 * Connections to app servers, and the attempts and probes on them. A connection carries one request at a
 * time: answers come in order, so a slow one would hold up those behind it, and giving it up end them all.
 */
public final class EndpointPool {
    public static final double[] NO_LOAD = new double[0];
    /**
     * So long (ms) before the servers' idle limit a connection is retired: a request that crosses its end is
     * reset, and a sweep, the way there and a late loop come between. Of a short limit this part stays.
     */
    private static final double RETIRE_BEFORE = 3000;

    private static final double RETIRE_LEAST = 0.4;
    private static final double SWEEP = 500;
    /** The value, the figures on use, the load report. */
    private static final int PARTS = 3;

    private static final double PROBE_WITHIN = 250;
    private static final int MOST_ELEMENTS = 16;
    /** An answer that has begun and of which nothing more comes for this long (ms) will not be whole. */
    private static final double WHOLE_WITHIN = 250;
    /** The most read at a time (bytes): of a large value it stands here until the client takes it. */
    private static final int READ_MOST = 16 * 1024;
    /** The kernel's part of it (bytes): when the server ends its side all of that is read at once. */
    private static final int KERNEL = 128 * 1024;

    private static final int READ_FIRST = 1024;
    private static final int READ_LEAST = 64;
    /** What was seen of idle connections counts half after this (ms): peers' habits change with the day. */
    private static final double FADE = 4000;
    /** Rest (ms) of a connection after an answer: what belongs to no request comes right behind one. */
    private static final double REST = 2;
    /** The reports' names for what the settings call otherwise. */
    private static final Map<String, String> FIELDS = Map.of(
            "inflight",
            "outstanding",
            "queue",
            "backlog",
            "util",
            "utilization",
            "latency_ms",
            "recent_ms",
            "qps",
            "throughput",
            "eps",
            "errors_per_s");

    /** A server that is used, as the list has it, with its connections. */
    private static final class Target {
        final String id;
        final long dial;
        EndpointDescriptor told;
        final ArrayDeque<EndpointConnection> idle = new ArrayDeque<>();
        final Set<EndpointConnection> links = new LinkedHashSet<>();
        final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
        int connecting;
        boolean up;
        /** The whole list that last named it. */
        int part;

        Target(EndpointDescriptor told) {
            this.told = told;
            id = told.id();
            dial = told.address();
        }

        /**
         * Writes on the connection that was used last, of those that have rested; false where none has. Those
         * that have stood idle for too long are closed.
         */
        boolean write(Attempt a, double now, IdleTimeoutEstimator limit) {
            for (Iterator<EndpointConnection> it = idle.descendingIterator(); it.hasNext(); ) {
                EndpointConnection link = it.next();
                if (link.used && !limit.allows(now - link.usedAt)) {
                    it.remove();
                    link.close(CloseReason.IDLE_LIMIT);
                } else if (now - link.usedAt >= REST && link.channel.isActive()) {
                    it.remove();
                    link.write(a);
                    return true;
                }
            }
            return false;
        }
    }

    private final EventLoopContext loop;
    private final EndpointPoolListener listener;
    private final Bootstrap bootstrap;
    private final GatewayConfig config;
    private final int most;
    private final Map<String, Target> targets = new HashMap<>();
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private final IdleTimeoutEstimator idleLimit = new IdleTimeoutEstimator();
    private int open;
    private int part;
    private boolean onPolicyNotified;

    public EndpointPool(
            EventLoopContext loop,
            EndpointPoolListener listener,
            EventLoopGroup group,
            GatewayConfig config,
            int most) {
        this.loop = loop;
        this.listener = listener;
        this.config = config;
        this.most = most;
        bootstrap = new Bootstrap()
                .group(group)
                .channel(Transport.socketChannel())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) config.connectTimeoutMs())
                .option(ChannelOption.SO_RCVBUF, KERNEL)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(READ_LEAST, READ_FIRST, READ_MOST));
    }

    /** Done when every server that the first list has brought in has had its connection come up or fail. */
    public CompletableFuture<Void> ready() {
        return ready;
    }

    // ---- the list ----

    /** A whole list begins: who it does not name by its end has gone. */
    public void onEndpointListStarted() {
        part++;
    }

    public void onEndpointListCompleted() {
        for (Target t : targets.values().toArray(new Target[0])) {
            if (t.part != part) {
                leave(targets.remove(t.id));
            }
        }
    }

    /** What changes at servers that are used; which those are is the module's to say. */
    public void onEndpoints(List<EndpointDescriptor> list) {
        for (EndpointDescriptor s : list) {
            Target t = targets.get(s.id());
            if (t == null) {
                continue;
            }
            t.part = part;
            if (s.state() == EndpointState.UP) {
                retain(s);
            } else {
                leave(t);
                if (s.state() == EndpointState.REMOVED) {
                    targets.remove(s.id());
                }
            }
        }
    }

    /** The module has heard of a list, and has told which of its servers are used. */
    public void onPolicyNotified() {
        onPolicyNotified = true;
        isReady();
    }

    /** Uses this server, as far as it is up: one connection is made so that the first request has it. */
    public void retain(EndpointDescriptor s) {
        Target t = targets.get(s.id());
        if (t == null || t.dial != s.address()) {
            leave(t);
            t = new Target(s);
            targets.put(s.id(), t);
        }
        t.part = part;
        t.told = s;
        t.up = true;
        if (t.links.isEmpty() && t.connecting == 0) {
            connect(t);
        }
    }

    /** A server that is used, as the list has it, or null. */
    public EndpointDescriptor descriptor(String server) {
        Target t = targets.get(server);
        return t == null ? null : t.told;
    }

    /** Not used any more, or not listed: what is idle there goes, what is out may end. */
    public void release(String server) {
        leave(targets.remove(server));
    }

    /** Nothing new goes to a server that drains, is gone or has moved; what is out there may end. */
    private void leave(Target t) {
        if (t != null) {
            t.up = false;
            withdraw(t);
        }
    }

    /** Nothing that waits goes to this server any more; the list's word on it stands. */
    public void withdraw(String server) {
        Target t = targets.get(server);
        if (t != null) {
            withdraw(t);
        }
    }

    private void withdraw(Target t) {
        for (EndpointConnection link : t.idle.toArray(new EndpointConnection[0])) {
            link.close(CloseReason.SERVER_NOT_USED);
        }
        while (!t.waiting.isEmpty()) {
            Attempt a = t.waiting.poll();
            loop.execute(() -> end(a, CallOutcome.NO_CONNECTION, null, NO_LOAD));
        }
    }

    public void start() {
        loop.schedule(SWEEP, this::sweep);
    }

    private void sweep() {
        loop.schedule(SWEEP, this::sweep);
        idleLimit.fade(Math.pow(0.5, SWEEP / FADE));
        double before =
                loop.now() - Math.max(config.keepAliveMs() * RETIRE_LEAST, config.keepAliveMs() - RETIRE_BEFORE);
        for (Target t : targets.values()) {
            while (!t.idle.isEmpty() && t.idle.peek().usedAt < before) {
                t.idle.poll().close(CloseReason.RETIRED);
            }
        }
    }

    private void isReady() {
        if (!ready.isDone() && onPolicyNotified && targets.values().stream().allMatch(t -> t.connecting == 0)) {
            ready.complete(null);
        }
    }

    // ---- attempts ----

    public void send(Attempt a) {
        Target t = targets.get(a.endpoint);
        if (t == null || !t.up) {
            loop.execute(() -> end(a, CallOutcome.NO_CONNECTION, null, NO_LOAD));
            return;
        }
        if (t.write(a, loop.now(), idleLimit)) {
            return;
        }
        if (!t.idle.isEmpty()) {
            t.waiting.add(a); // sooner than a new connection would be up
            loop.schedule(REST, () -> serve(t));
            return;
        }
        if (open >= most && !spare()) {
            loop.execute(() -> end(a, CallOutcome.NO_CONNECTION, null, NO_LOAD));
            return;
        }
        t.waiting.add(a);
        connect(t);
    }

    /**
     * The attempt that has waited longest goes first; none is left with no connection to come or to rest.
     * What must not be sent any more is kept back: time has gone on since it was decided.
     */
    private void serve(Target t) {
        t.waiting.removeIf(a -> {
            boolean denied = a.request != null && a.request.denies(a);
            if (denied) {
                loop.execute(() -> end(a, CallOutcome.NOT_SENT, null, NO_LOAD));
            }
            return denied;
        });
        while (!t.waiting.isEmpty() && t.write(t.waiting.peek(), loop.now(), idleLimit)) {
            t.waiting.poll();
        }
        if (t.waiting.size() > t.connecting + t.idle.size()) {
            connect(t);
        }
    }

    public void checkHealth(String server) {
        Attempt a = new Attempt(null, 0, server, loop.now(), null);
        loop.schedule(PROBE_WITHIN, () -> abandon(a, CallOutcome.TIMEOUT));
        send(a);
    }

    /** Stops waiting for an attempt. One that was not written whole cannot have run. */
    public void abandon(Attempt a, CallOutcome outcome) {
        if (a.ended) {
            return;
        }
        EndpointConnection link = a.connection;
        boolean unsent = link == null || !link.written;
        end(a, unsent && outcome == CallOutcome.TIMEOUT ? CallOutcome.NO_CONNECTION : outcome, null, NO_LOAD);
        if (link == null) {
            Target t = targets.get(a.endpoint);
            if (t != null) {
                t.waiting.remove(a);
            }
        } else {
            link.current = null;
            link.close(CloseReason.ATTEMPT_GIVEN_UP); // its answer is owed on it: never used again
        }
    }

    /** Ends an attempt that the server has not got whole, and so has not begun. */
    public void cancelUnwritten(Attempt a) {
        if (a.connection == null || !a.connection.written) {
            abandon(a, CallOutcome.NOT_SENT);
        }
    }

    private void end(Attempt a, CallOutcome outcome, RedisMessage value, double[] load) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        if (a.request == null) {
            listener.onHealthCheck(a.endpoint, outcome, loop.now() - a.sentAt, load);
        } else {
            a.request.onAttemptEnded(a, outcome, value, load);
        }
    }

    // ---- connections ----

    /** At the bound an idle connection of another server makes room. */
    private boolean spare() {
        for (Target t : targets.values()) {
            if (!t.idle.isEmpty()) {
                t.idle.poll().close(CloseReason.ROOM);
                return true;
            }
        }
        return false;
    }

    private void connect(Target t) {
        if (open >= most && t.waiting.isEmpty()) {
            return; // ahead of any request: at the bound those that are asked for have what there is
        }
        EndpointConnection link = new EndpointConnection(t);
        t.connecting++;
        open++;
        ChannelFuture connected = bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        link.channel = channel;
                        link.raw = RespCodec.addHandlers(channel.pipeline(), MOST_ELEMENTS, link);
                        channel.pipeline().addLast(link);
                    }
                })
                .connect(PackedAddress.unpack(t.dial));
        connected.addListener(f -> {
            t.connecting--;
            if (!f.isSuccess()) {
                open--;
                // every attempt that waits began a connection: one too few now, and the oldest goes without
                if (t.waiting.size() > t.connecting + t.idle.size()) {
                    Attempt a = t.waiting.poll(); // later: with no descriptor left it fails inside the send
                    loop.execute(() -> end(a, CallOutcome.NO_CONNECTION, null, NO_LOAD));
                }
            } else if (!t.up) {
                t.links.add(link);
                link.close(CloseReason.SERVER_NOT_USED);
            } else {
                t.links.add(link);
                link.free();
                link.usedAt -= REST; // nothing has been answered on it
                serve(t);
            }
            isReady();
            loop.flush();
        });
    }

    final class EndpointConnection extends ChannelInboundHandlerAdapter
            implements LargeValueHandler, ResponseSource, RequestBodySink {
        private final Target target;
        private Channel channel;
        private Attempt current;
        /** The large value that comes, or has come with the rest of its answer still to come. */
        private StreamedResponse stream;

        private RespFrameTracker raw;
        private boolean written;
        private boolean answered;
        private boolean begun;
        private double usedAt;
        private CloseReason closeReason = CloseReason.CLOSED_BY_PEER;
        /** Whether there was a request before the one that is out, and how long ago it was answered. */
        private boolean used;

        private double idle;

        EndpointConnection(Target target) {
            this.target = target;
        }

        /** The first reason counts. */
        void close(CloseReason reason) {
            if (closeReason == CloseReason.CLOSED_BY_PEER) {
                closeReason = reason;
            }
            channel.close();
        }

        void write(Attempt a) {
            current = a;
            a.connection = this;
            written = false;
            begun = false;
            idle = loop.now() - usedAt;
            ArrayRedisMessage command = a.request == null
                    ? RespCodec.command(channel.alloc(), "INFO", "load")
                    : a.request.encode(channel.alloc());
            if (a.request != null && a.request.body() != null) {
                List<RedisMessage> parts = command.children();
                channel.write(new ArrayHeaderRedisMessage(parts.size()), channel.voidPromise());
                for (RedisMessage part : parts.subList(0, parts.size() - 1)) {
                    channel.write(part, channel.voidPromise());
                }
                channel.write(new BulkStringHeaderRedisMessage(a.request.body().length()), channel.voidPromise());
                ReferenceCountUtil.release(parts.get(parts.size() - 1)); // an empty one, in the body's place
                a.request.body().forwardTo(this);
            } else {
                written(a, channel.write(command));
            }
            loop.flushLater(channel);
        }

        private void written(Attempt a, ChannelFuture write) {
            write.addListener(f -> {
                if (current == a) {
                    written = f.isSuccess();
                }
                if (f.isSuccess() && a.request != null) {
                    a.request.onAttemptWritten();
                }
            });
        }

        /** A part of a large body; one whose attempt has ended takes it nowhere. */
        @Override
        public boolean write(ByteBuf part, boolean last) {
            Attempt a = current;
            if (a == null) {
                part.release();
                return true;
            }
            if (last) {
                written(a, channel.write(new DefaultLastBulkStringRedisContent(part)));
            } else {
                channel.write(new DefaultBulkStringRedisContent(part), channel.voidPromise());
            }
            loop.flushLater(channel);
            return channel.isWritable();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (current != null && current.request != null && current.request.body() != null) {
                current.request.body().setWritable(channel.isWritable());
            }
        }

        /** What came of using this connection: an answer, or a reset before anything of one. */
        private void learn(boolean reset) {
            if (used) {
                idleLimit.usedAgain(idle, reset);
            } else {
                idleLimit.usedNew(reset);
            }
            used = true;
        }

        /** Ready for the next request, after a rest. */
        void free() {
            usedAt = loop.now();
            if (target.up) {
                target.idle.addLast(this);
                if (!target.waiting.isEmpty()) {
                    loop.schedule(REST, () -> serve(target));
                }
            } else {
                close(CloseReason.SERVER_NOT_USED);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            try {
                raw.onMessageComplete((RedisMessage) msg);
                if (stream != null) { // the figures behind a value that has been passed on
                    stream = null;
                    answered = true;
                    return;
                }
                Attempt a = current;
                current = null;
                if (a == null || !written || !answered(a, (RedisMessage) msg)) {
                    if (a != null) { // an answer to a body that is not whole yet: it cannot have run
                        end(
                                a,
                                written || a.request == null || a.request.body() == null
                                        ? CallOutcome.ERROR
                                        : CallOutcome.NO_CONNECTION,
                                null,
                                NO_LOAD);
                    }
                    close(CloseReason.UNASKED); // or not this: what comes next belongs to nobody
                    return;
                }
                learn(false);
                answered = true;
            } finally {
                ReferenceCountUtil.release(msg);
            }
        }

        @Override
        public int argumentIndex() {
            return 0;
        }

        /** The request is as good as answered: the value is the client's from its first bytes on. */
        @Override
        public boolean onValueStarted(int length) {
            Attempt a = current;
            if (a == null || !written || a.request == null) {
                return false;
            }
            current = null;
            a.ended = true;
            learn(false);
            stream = a.request.onStreamStarted(a, length, this);
            return stream != null;
        }

        @Override
        public void onValueContent(ByteBuf part, boolean last) {
            if (stream == null) {
                part.release(); // its stream has ended, and this connection with it
            } else {
                stream.content(part, last);
                if (last) {
                    incomplete(null);
                }
            }
        }

        @Override
        public void setReading(boolean on) {
            if (channel.config().isAutoRead() != on) {
                channel.config().setAutoRead(on);
            }
        }

        @Override
        public void stop() {
            stream = null;
            close(CloseReason.VALUE_NOT_WANTED);
        }

        /** Takes an answer in one of the protocol's forms; false where it is in none: it may have run. */
        private boolean answered(Attempt a, RedisMessage msg) {
            if (msg instanceof ArrayRedisMessage array
                    && !array.isNull()
                    && array.children().size() == PARTS
                    && RespCodec.isValue(array.children().get(0))
                    && a.request != null) {
                List<RedisMessage> parts = array.children();
                end(a, CallOutcome.OK, parts.get(0), load(RespCodec.text(parts.get(2))));
            } else if (msg instanceof ErrorRedisMessage error) {
                String text = error.content();
                boolean busy = text.equals("BUSY") || text.startsWith("BUSY ");
                if (!busy && !text.startsWith("ERR ")) {
                    loop.logFailure("app server", new IllegalStateException(text));
                    return false;
                }
                int space = text.lastIndexOf(' ');
                end(
                        a,
                        busy ? CallOutcome.FULL : CallOutcome.ERROR,
                        null,
                        text.indexOf('=', space) > 0 ? load(text.substring(space + 1)) : NO_LOAD);
            } else if (a.request == null && RespCodec.isValue(msg)) {
                end(a, CallOutcome.OK, null, load(RespCodec.text(msg)));
            } else {
                return false;
            }
            return true;
        }

        /**
         * A connection is used again only after an answer with nothing behind it: a second copy or half a
         * message would be taken for the next request's. One with half an answer is waited for, but not long.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (stream == null && current == null && raw.pendingBytes() != 0) {
                close(CloseReason.UNASKED);
            } else if (answered) {
                free();
            } else if (current != null && raw.pendingBytes() != 0 && !begun) {
                begun = true;
                incomplete(current);
            }
            answered = false;
            loop.flush();
        }

        /** Half an answer has come, of an attempt or behind a large value: waited for while it grows. */
        private void incomplete(Attempt a) {
            long before = raw.pendingBytes();
            StreamedResponse value = stream;
            loop.schedule(WHOLE_WITHIN, () -> {
                if (current != a || stream != value || (a == null && value == null)) {
                    return;
                }
                if (raw.pendingBytes() != before) {
                    incomplete(a);
                } else {
                    spoilt();
                }
            });
        }

        /** What has come is no answer's beginning: nothing more on this connection can be told apart. */
        private void spoilt() {
            Attempt a = current;
            StreamedResponse value = stream;
            current = null;
            stream = null;
            close(CloseReason.UNREADABLE);
            if (value != null) {
                value.onSourceFailed();
            }
            if (a != null) {
                end(a, CallOutcome.ERROR, null, NO_LOAD);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open--;
            listener.onEndpointConnectionClosed(target.id, closeReason);
            target.idle.remove(this);
            target.links.remove(this);
            if (target.up && !target.waiting.isEmpty()) {
                serve(target);
            }
            Attempt a = current;
            StreamedResponse value = stream;
            current = null;
            stream = null;
            if (value != null) {
                value.onSourceFailed();
            }
            if (a != null) {
                if (written && raw.pendingBytes() == 0) {
                    learn(true);
                }
                end(a, written ? CallOutcome.RESET : CallOutcome.NO_CONNECTION, null, NO_LOAD);
            }
            loop.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // behind our own close the codec tells only of what it had not read to its end
            if (!(cause instanceof java.io.IOException) && (current != null || channel.isActive())) {
                loop.logFailure("app server connection", cause);
                spoilt(); // what came cannot be read: an error of this answer, not of the server
            }
            close(CloseReason.ERROR);
        }
    }

    /** The values in the order of the settings' fields; what is not told is not a number. */
    private double[] load(String report) {
        List<String> fields = config.settings().loadFields();
        if (report == null || fields.isEmpty()) {
            return NO_LOAD;
        }
        double[] values = new double[fields.size()];
        Arrays.fill(values, Double.NaN);
        for (String pair : report.split(",", 0)) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                String name = pair.substring(0, eq);
                int i = fields.indexOf(name);
                i = i < 0 ? fields.indexOf(FIELDS.getOrDefault(name, name)) : i;
                try {
                    if (i >= 0) {
                        values[i] = Math.max(0, Double.parseDouble(pair.substring(eq + 1)));
                    }
                } catch (NumberFormatException e) {
                    values[i] = Double.NaN;
                }
            }
        }
        return values;
    }
}
