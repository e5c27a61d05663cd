package quotagateway.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import quotagateway.lifecycle.CloseReason;
import quotagateway.log.NodeEvent;
import quotagateway.resp.LargeValueHandler;
import quotagateway.resp.RespCodec;
import quotagateway.resp.RespFrameTracker;
import quotagateway.streaming.RequestBody;
import quotagateway.transport.AcceptFailureHandler;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.Transport;

/** Clients' connections: commands in, answers out in the order of the commands. */
public final class ClientListener {
    /** So many commands unanswered on one connection are enough: it is read on when some are answered. */
    private static final int PIPELINED = 256;
    /** A client that does not close its side after ours has ended is cut off after this (ms). */
    private static final int LINGER = 200;

    private static final int MOST_WORDS = 16;
    /** Which word of a command is the value. */
    private static final int BODY = 4;
    /** One that has sent nothing whole for so long (ms) is told so and ended. */
    private static final double PATIENCE = 2500;

    private static final double SWEEP = 250;
    /** At the bound one that has asked nothing yet may go after this (ms): clients ask when they connect. */
    private static final double ASKS_WITHIN = 500;
    /** A client that reads nothing of what it is owed for so long (ms) after the end is cut off. */
    private static final int UNREAD = 2000;

    /** While none is accepted, it is looked this often (ms) whether one may make room by now. */
    private static final double LOOK_AGAIN = 50;

    private static final int BACKLOG = 1024;
    /** So much written and not sent (bytes): no more is read for this client until half of it has gone. */
    private static final int UNSENT = 32 * 1024;
    /** Connections accepted in one round of the loop. */
    private static final int ACCEPTS = 16;
    /** No connection for so long (ms): the queue is as good as seen empty. */
    private static final double QUIET = 30;
    /** While the node ends, connections are looked through this often (ms) for those that can be ended. */
    private static final double LEAVING_SWEEP = 50;
    /** A connection that has sent nothing is let wait for its first command so long (ms) at the end. */
    private static final double FIRST_COMMAND = 1000;

    private final EventLoopContext loop;
    private final ClientRequestHandler requests;
    private volatile int most;
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    /** Those that have sent no whole command yet, the oldest first. */
    private final Set<ClientConnection> silent = new LinkedHashSet<>();
    /** Those that have made room, until their clients have seen it. */
    private final Set<ClientConnection> leaving = new LinkedHashSet<>();

    private final ReadAhead.Shared shared;
    private volatile Channel listener;
    private boolean closing;
    private boolean unbinding;
    private long accepted;
    private long connections;
    private boolean full;

    public ClientListener(EventLoopContext loop, ClientRequestHandler requests, int most) {
        this.loop = loop;
        this.requests = requests;
        this.most = most;
        shared = new ReadAhead.Shared(loop);
    }

    /** Binds; null where the node has been told to end, and throws where the address cannot be had. */
    public SocketAddress bind(EventLoopGroup group, SocketAddress address) throws InterruptedException {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(Transport.listener())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(Transport.shared(), true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, accepts())
                .handler(new ChannelInitializer<ServerSocketChannel>() {
                    @Override
                    protected void initChannel(ServerSocketChannel channel) {
                        if (!requests.mayListen()) {
                            channel.close();
                            return;
                        }
                        listener = channel; // on the loop: a client may come before bind has returned
                        channel.pipeline()
                                .addLast(new Queue(), new AcceptFailureHandler(loop, ClientListener.this::accept));
                    }
                })
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, Transport.toTheEnd())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(UNSENT / 2, UNSENT))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        ClientConnection c = new ClientConnection(channel);
                        channel.pipeline().addLast(c.ahead);
                        c.raw = RespCodec.codec(channel.pipeline(), MOST_WORDS, c);
                        channel.pipeline().addLast(c);
                        open.add(c);
                        silent.add(c);
                        room();
                    }
                })
                .bind(address)
                .await();
        return listener == null ? null : bound.sync().channel().localAddress();
    }

    /** Accepts on until none waits: with epoll a round ended behind the first, and hid the rest. */
    private static RecvByteBufAllocator accepts() {
        ServerChannelRecvByteBufAllocator accepts = new ServerChannelRecvByteBufAllocator();
        accepts.maxMessagesPerRead(ACCEPTS);
        return accepts.respectMaybeMoreData(false);
    }

    /** Whether it listens, or did. */
    public boolean hasListened() {
        return listener != null;
    }

    /** Sees the listener's queue run empty: only then nothing that waits in it is reset by a close. */
    private final class Queue extends ChannelInboundHandlerAdapter {
        private int round;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            round++;
            accepted++;
            ctx.fireChannelRead(msg);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean empty = round < ACCEPTS; // else the bound of a round ended it
            round = 0;
            if (unbinding && empty) {
                ctx.close();
            }
            ctx.fireChannelReadComplete();
        }
    }

    /** From now on so many connections are held at the most. */
    public void limitConnections(int connections) {
        most = connections;
    }

    public void start() {
        loop.schedule(SWEEP, this::sweep);
    }

    /** Connections that say nothing, or half a command, would fill the bound. */
    private void sweep() {
        loop.schedule(SWEEP, this::sweep);
        double before = loop.now() - PATIENCE;
        for (ClientConnection c : open.toArray(new ClientConnection[0])) {
            if (!c.deaf && (c.slots.isEmpty() || (c.body != null && c.body.wantsMore())) && c.silentFrom < before) {
                c.malformed("no whole command came");
            }
        }
        if (listener != null) {
            accept(); // the bound may have been raised
        }
    }

    /** At the bound one connection goes for each that comes; where none may yet, accepting waits for one. */
    private void room() {
        ClientConnection last = open.size() > most ? last() : null;
        while (last != null) {
            last.leave();
            last = open.size() > most ? last() : null;
        }
        accept();
    }

    private void accept() {
        boolean room = open.size() < most + connectionsBeyondLimit(most);
        listener.config().setAutoRead(unbinding || room);
        if (!room && !full) {
            full = true;
            loop.schedule(LOOK_AGAIN, () -> {
                full = false;
                room();
            });
        }
    }

    /** Connections that are held beyond the bound while it is looked for one to make room. */
    public static int connectionsBeyondLimit(int most) {
        return Math.max(1, most / 16);
    }

    /**
     * Who goes first: one that has sent nothing and had the time to; then the one between requests for
     * longest, whose client finds the end at once; and only then a half command, as that may be a true
     * request on a slow way, the oldest first. Null where all have open requests.
     */
    private ClientConnection last() {
        ClientConnection half = null;
        double before = loop.now() - ASKS_WITHIN;
        for (ClientConnection c : silent) {
            if (!c.deaf && !c.begun() && c.bornAt < before) {
                return c;
            }
            half = half == null && !c.deaf && c.bornAt < before ? c : half;
        }
        for (ClientConnection c : open) {
            if (c.between() && !silent.contains(c) && c.unsent() == 0) {
                return c;
            }
        }
        return half;
    }

    /** From now on each connection ends behind its next answer. */
    public void closeAfterResponses() {
        closing = true;
    }

    /**
     * Ends the connections that are between requests. Where a command has begun, or may well be on its way on
     * a new connection, it is let come: ended on it, the client would have to ask elsewhere.
     */
    public void closeIdle() {
        if (!open.isEmpty()) {
            loop.schedule(LEAVING_SWEEP, this::closeIdle); // first: a fault below does not end the looks
        }
        for (ClientConnection c : open.toArray(new ClientConnection[0])) {
            if (c.between() && (!silent.contains(c) || c.bornAt < loop.now() - FIRST_COMMAND)) {
                loop.schedule(1, c::finishIdle); // what has come by now is read first
            }
        }
    }

    /**
     * Ends each connection that has no request open, as the process is about to end: half a command is told
     * so, for its client would never hear what becomes of the rest.
     */
    public void closeAll() {
        for (ClientConnection c : open.toArray(new ClientConnection[0])) {
            c.endNow();
        }
    }

    /** Listens no more, from the next moment on at which no connection waits to be accepted. */
    public void stopListening() {
        unbinding = true;
        listener.config().setAutoRead(true);
        loop.schedule(QUIET, this::closeWhenEmpty);
    }

    /** A late loop may not have looked at the queue in all that time: it does in the round before. */
    private void closeWhenEmpty() {
        long before = accepted;
        loop.schedule(1, () -> {
            if (accepted == before) {
                listener.close();
            } else {
                closeWhenEmpty();
            }
        });
    }

    public boolean isIdle() {
        return open.isEmpty() && leaving.isEmpty();
    }

    /** Listens no more, at once: the node has ended. Where it never listened there is nothing to close. */
    public void close() {
        if (listener != null) {
            listener.close().addListener(closed -> {
                if (!closed.isSuccess()) {
                    loop.logFailure("closing the listener", closed.cause());
                }
            });
        }
    }

    /** Reads on where connections were held back for memory. */
    public void resumeReading() {
        for (ClientConnection c : open.toArray(new ClientConnection[0])) {
            c.hold();
        }
    }

    final class ClientConnection extends ChannelInboundHandlerAdapter implements LargeValueHandler {
        final SocketChannel channel;
        final ArrayDeque<ResponseSlot> slots = new ArrayDeque<>();
        private final double bornAt = loop.now();
        private final ReadAhead ahead = new ReadAhead(shared);
        /** Names it in the event log. */
        final long number = ++connections;

        int commands;
        private CloseReason closeReason = CloseReason.CLOSED_BY_PEER;
        private RespFrameTracker raw;
        /** Since when a whole command is waited for; never where none has begun. */
        private double silentFrom = bornAt;
        /** The large value that comes, and its command until enough has come to take that. */
        private RequestBody body;

        private ResponseSlot bodySlot;
        private ArrayRedisMessage bodyCommand;
        private boolean bodyOwned;
        private boolean deaf;
        private boolean finished;

        ClientConnection(SocketChannel channel) {
            this.channel = channel;
        }

        double age() {
            return loop.now() - bornAt;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (deaf) { // not taken: the client sends it once more elsewhere
                ReferenceCountUtil.release(msg);
                return;
            }
            raw.onMessageComplete((RedisMessage) msg);
            silent.remove(this);
            silentFrom = Double.MAX_VALUE;
            if (slots.isEmpty()) {
                open.remove(this);
                open.add(this); // the least recently used first
            }
            ResponseSlot slot = new ResponseSlot(this);
            slots.add(slot);
            try {
                if (msg instanceof ArrayRedisMessage command
                        && command != ArrayRedisMessage.NULL_INSTANCE
                        && !command.children().isEmpty()) {
                    command(slot, command);
                } else {
                    slot.respond(new ErrorRedisMessage("ERR a command expected"));
                }
            } finally {
                ReferenceCountUtil.release(msg);
            }
            hold();
        }

        private void command(ResponseSlot slot, ArrayRedisMessage command) {
            String verb = RespCodec.text(command.children().get(0));
            if ("CALL.GET".equals(verb) || "CALL.POST".equals(verb)) {
                if (body != null) {
                    bodySlot = slot;
                    bodyOwned = true;
                    bodyCommand = ReferenceCountUtil.retain(command);
                } else {
                    take(slot, command, null);
                }
            } else if ("PING".equalsIgnoreCase(verb)) {
                slot.respond(new SimpleStringRedisMessage("PONG"));
            } else {
                slot.respond(new ErrorRedisMessage("ERR unknown command"));
            }
        }

        private void take(ResponseSlot slot, ArrayRedisMessage command, RequestBody with) {
            String wrong = requests.acceptCommand(slot, command, with);
            if (wrong != null) {
                slot.respond(new ErrorRedisMessage("ERR " + wrong));
                if (with != null) {
                    with.discard();
                }
            }
        }

        // ---- a large value ----

        @Override
        public int argumentIndex() {
            return BODY;
        }

        @Override
        public boolean onValueStarted(int length) {
            if (deaf) {
                return false;
            }
            body = new RequestBody(length, loop.now(), this::hold);
            bodyOwned = false;
            return true;
        }

        @Override
        public void onValueContent(ByteBuf part, boolean last) {
            RequestBody b = body;
            if (last) {
                body = null;
            }
            silentFrom = last ? Double.MAX_VALUE : loop.now();
            if (deaf || !bodyOwned) { // of no request: the command was answered without it
                b.discard();
            }
            b.content(part);
            if (bodyCommand != null && (b.isReadyToForward() || requests.isMemoryExhausted())) {
                ArrayRedisMessage command = bodyCommand;
                bodyCommand = null;
                take(bodySlot, command, b);
                ReferenceCountUtil.release(command);
            }
        }

        /** Nothing more is taken while too much is unanswered, unread by the client, or held by all. */
        private void hold() {
            boolean take = deaf
                    || (slots.size() < PIPELINED
                            && channel.isWritable()
                            && (body == null ? !requests.isMemoryExhausted() : body.wantsMore()));
            if (ahead.held() == take) {
                ahead.hold(!take);
                if (take && body != null) {
                    silentFrom = loop.now(); // it was we who did not take it
                }
            }
        }

        void drain() {
            while (!slots.isEmpty() && slots.peek().answer != null) {
                channel.write(slots.poll().answer, channel.voidPromise());
                loop.flushLater(channel);
            }
            if (!slots.isEmpty() && slots.peek().streamFrom != null) {
                slots.peek().streamFrom.startWriting(channel);
            }
            if (slots.isEmpty() && (deaf || (closing && !begun()))) {
                finish(CloseReason.SHUTDOWN_ANSWERED);
            }
            if (ahead.held()) {
                hold();
            }
        }

        /** Something has come that is no whole command yet, or has not been looked at. */
        private boolean begun() {
            return raw.pendingBytes != 0 || !ahead.isEmpty();
        }

        /** Bytes written and not taken over by the system, as the client reads slowly. */
        private long unsent() {
            ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
            return out == null ? 0 : out.totalPendingWriteBytes();
        }

        /**
         * Makes room. What comes in this moment is read and dropped, as a close over it would be a reset, and
         * that eats the answer before. The client has a while to see it; of many the first go at once.
         */
        private void leave() {
            open.remove(this);
            silent.remove(this);
            leaving.add(this);
            finish(CloseReason.EVICTED);
            if (leaving.size() > connectionsBeyondLimit(most)) {
                ClientConnection first = leaving.iterator().next();
                leaving.remove(first); // its end is told later
                first.close(CloseReason.EVICTED);
            }
        }

        /** Nothing is asked and nothing has begun to come. */
        private boolean between() {
            return slots.isEmpty() && !begun() && !deaf;
        }

        private void endNow() {
            if (!deaf && begun() && openRequests() == 0) {
                malformed("the edge node ends");
            } else {
                finishIdle();
            }
        }

        private void finishIdle() {
            if (between()) {
                finish(CloseReason.SHUTDOWN_IDLE);
            }
        }

        /** The first reason counts. */
        private void because(CloseReason reason) {
            if (closeReason == CloseReason.CLOSED_BY_PEER) {
                closeReason = reason;
            }
        }

        private void close(CloseReason reason) {
            because(reason);
            channel.close();
        }

        /** Ends our side after what is written, then waits for the client's: a reset could eat an answer. */
        private void finish(CloseReason reason) {
            if (finished) {
                return;
            }
            if (!requests.mayClose(reason, openRequests())) {
                malformed("internal error"); // what is owed here first
                return;
            }
            because(reason);
            finished = true;
            deaf = true;
            hold();
            unread(Long.MAX_VALUE);
            // behind all that is written: ending the output drops what a slow reader has still to get
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> {
                channel.shutdownOutput();
                channel.eventLoop().schedule(() -> close(CloseReason.LINGER_OVER), LINGER, TimeUnit.MILLISECONDS);
            });
        }

        /** Requests that wait here for their answer. */
        private int openRequests() {
            return (int) slots.stream().filter(slot -> !slot.isNoRequest()).count();
        }

        /** Cuts off a client that has taken nothing of what is left to it since it was looked last. */
        private void unread(long before) {
            long left = unsent();
            if (left >= before) {
                close(CloseReason.UNREAD);
            } else if (channel.isActive()) {
                channel.eventLoop().schedule(() -> unread(left), UNREAD, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (body != null) {
                silentFrom = loop.now();
            } else if (raw.pendingBytes == 0) {
                silentFrom = silent.contains(this) ? silentFrom : Double.MAX_VALUE;
            } else if (silentFrom == Double.MAX_VALUE) {
                silentFrom = loop.now();
            }
            loop.flush();
        }

        private void dropBody() {
            ReferenceCountUtil.release(bodyCommand);
            bodyCommand = null;
            if (body != null) {
                body.discard();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            hold();
            if (!slots.isEmpty() && slots.peek().streamFrom != null) {
                slots.peek().streamFrom.updateReading();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open.remove(this);
            silent.remove(this);
            leaving.remove(this);
            requests.onClientConnectionClosed(
                    new NodeEvent.ClientConnectionClosed(number, closeReason, age(), commands, slots.size()));
            abandon();
            room();
            loop.flush();
        }

        /** Nobody is owed anything here any more. */
        private void abandon() {
            dropBody();
            while (!slots.isEmpty()) {
                ResponseSlot slot = slots.poll();
                ReferenceCountUtil.release(slot.answer);
                if (slot.request != null) {
                    slot.request.onClientDisconnected();
                }
                if (slot.streamFrom != null) {
                    slot.streamFrom.onClientDisconnected();
                }
            }
        }

        /** The answer that goes out cannot be whole; those before it still get there. */
        void breakOff() {
            deaf = true;
            abandon();
            finish(CloseReason.VALUE_BROKEN_OFF);
        }

        /**
         * There is no telling where the next command begins. What is open on the connection fails at once, so
         * that the error is not late behind it, and nothing more is read.
         */
        private void malformed(String what) {
            if (bodyCommand != null) {
                slots.remove(bodySlot); // no request yet: the error is its answer
            }
            dropBody();
            if (!deaf) {
                because(CloseReason.MALFORMED);
                deaf = true;
                ahead.shut(); // 60 MB would cost as much to drop as to take
                ResponseSlot last = new ResponseSlot(this);
                slots.add(last);
                for (ResponseSlot slot : slots.toArray(new ResponseSlot[0])) {
                    if (slot.request != null) {
                        slot.request.onConnectionMalformed();
                    }
                }
                last.respond(new ErrorRedisMessage("ERR " + what));
            }
            loop.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof io.netty.handler.codec.CodecException) {
                malformed("malformed");
                return;
            }
            if (!(cause instanceof java.io.IOException)) {
                loop.logFailure("client connection", cause);
                malformed("internal error"); // what is open here is still owed an answer
                return;
            }
            close(CloseReason.ERROR);
        }
    }
}
