package quotagateway.discovery;

import com.fasterxml.jackson.core.JacksonException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import quotagateway.config.CachedEndpointList;
import quotagateway.config.GatewayConfig;
import quotagateway.log.NodeEvent;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.Transport;

/**
 * The list of app servers: the one told at the start, the whole list, then a watch that is kept alive.
 *
 * <p>A change counts as told 6 s after discovery had it and could be reached, and a drain is to be heard of
 * before its grace begins. So from every state the next call is out within 6 s less that grace, also where
 * that call fails once more. The module's own back-off, where lists are asked for, can only make a call come
 * sooner: this class asks again by itself.
 *
 * <table><caption>Longest time to the next call (ms); with one more silent call behind it</caption>
 * <tr><th>state</th><th>sum</th><th>next</th><th>and one more</th></tr>
 * <tr><td>back-off, refused, reset, ended</td><td>BACKOFF_MOST</td><td>80</td><td>2760</td></tr>
 * <tr><td>connecting</td><td>CONNECT + back-off</td><td>580</td><td>3260</td></tr>
 * <tr><td>half a list, nothing behind it</td><td>5 x HALF_A_LIST + back-off</td><td>480</td>
 * <td>3160</td></tr>
 * <tr><td>no answer, a head alone, empty lines or bytes that end in no list</td>
 * <td>PATIENCE_MOST + CHECK + back-off</td><td>2680</td><td>5360</td></tr>
 * <tr><td>a watch that has told, silent</td><td>SILENT + SILENT_SPREAD + CHECK + BACKOFF</td><td>3810</td>
 * <td>4420</td></tr>
 * <tr><td>a new address during any of them</td><td>none</td><td>0</td><td>600</td></tr></table>
 * A list that keeps coming has its bytes over PACE on top.
 */
@SuppressWarnings("ReferenceEquality") // an address object also names the configuration that it came from
public final class DiscoveryClient {
    private static final String PATH = "/catalog/members";
    /**
     * A watch sends a line every 2 s: one that is silent for longer (ms) is dead. What it misses counts as
     * told 6 s after its end, which may be as soon as its last line, and the next one has still to open and
     * may fail. One that was only late costs a call to an agent on this machine.
     */
    private static final double SILENT = 3100;
    /** The watches of all nodes may fall silent at once: each is opened anew at a time of its own (ms). */
    private static final double SILENT_SPREAD = 600;
    /**
     * The agent answers each call at once, a watch too, if only with an empty change. A call that has told
     * nothing whole for so long (ms) from its start is made anew, and the next may take twice that: where
     * discovery has a line of callers, each that comes again makes it longer. A new process counts as told
     * from its first moment, and one that had a quiet call went by an old list for 5 s.
     */
    private static final double ANSWER_WITHIN = 500;
    /** Two calls of this (ms) in a row stay under the 6 s: the first lost, the next silent once more. */
    private static final double PATIENCE_MOST = 2500;
    /** A list that comes is given its bytes over this (a ms) on top: slower, it is bytes without an end. */
    private static final double PACE = 256;
    /**
     * Lists come whole: half a list with nothing behind it for so long (ms) is all that comes, and what it
     * tells must be known within the grace for drains. The watch is asked for anew, from the last whole list.
     * Where lists are merely slow this costs a connection each and the back-off, and the next may stop for
     * longer, as it may take longer.
     */
    private static final double HALF_A_LIST = 80;

    private static final double CHECK = 100;
    /** The agent is on this machine: a first packet that is lost is better sent anew than after TCP's 1 s. */
    static final int CONNECT = 500;
    /** The agent is on this machine and at no cost: after one that worked the next is tried at once. */
    private static final double BACKOFF = 10;
    /** What the agent has counts as told: away for longer, a drain would be heard of past its grace. */
    private static final double BACKOFF_MOST = 80;
    /** A long list is read in pieces of this (bytes), some 0.3 ms each: requests come between them. */
    private static final int PIECE = 16 << 10;

    private final EventLoopContext loop;
    private final DiscoveryListener listener;
    private final Connector connector;
    private final SplittableRandom random;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    /** Watches at addresses that a new configuration has left: they count until the new one has told. */
    private final List<Channel> left = new ArrayList<>();

    private final int most;
    private InetSocketAddress address;
    private Channel channel;
    private Call call;
    private long seq = -1;
    /** How long (ms) the next call may take to tell something whole. */
    private double patience = ANSWER_WITHIN;

    private double backoff = BACKOFF;
    private boolean connecting;
    /** Whether there is a module to be told: a signal may come before, and the module itself asks first. */
    private boolean started;

    private boolean moved;
    /** Whose list is being handed over in parts: another one that begins takes its place. */
    private Told parts;

    private boolean tooLong;

    public DiscoveryClient(
            EventLoopContext loop, DiscoveryListener listener, Connector connector, GatewayConfig config) {
        this.loop = loop;
        this.listener = listener;
        this.connector = connector;
        address = config.discoveryAddress();
        random = new SplittableRandom(config.seed());
        most = config.maxEndpoints();
    }

    public static Connector sockets(EventLoopGroup group) {
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(Transport.socket())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(PIECE).maxMessagesPerRead(1));
        return (to, handler) -> bootstrap.clone().handler(handler).connect(to);
    }

    /** Done when discovery itself has told its list. */
    public CompletableFuture<Void> ready() {
        return ready;
    }

    /** The list that was known at the start may be old: it serves until discovery answers. */
    public void start(CachedEndpointList known) {
        started = true;
        if (known != null) {
            try {
                known.read(new EndpointListParser(new Told(moved ? null : address), most));
            } catch (IOException | RuntimeException e) {
                loop.logFailure("list known from before", e); // discovery has another
            }
        }
        connect();
        check();
    }

    /** The watch stands or is being renewed all the time. */
    public void subscribe() {
        if (channel == null && !connecting) {
            connect();
        }
    }

    /** A new address: its versions are its own, so the whole list is fetched; the old watch stays so long. */
    public void reconnectTo(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        step(to, NodeEvent.DiscoveryCall.Step.MOVED);
        moved = true;
        seq = -1;
        backoff = BACKOFF;
        patience = ANSWER_WITHIN;
        connecting = false;
        if (channel != null) {
            left.add(channel);
            channel = null;
        }
        connect();
    }

    private void check() {
        loop.schedule(CHECK, this::check);
        if (channel != null && loop.now() > call.due()) {
            step(address, NodeEvent.DiscoveryCall.Step.SILENT);
            channel.close();
        }
    }

    private void connect() {
        if (!started || connecting || channel != null) {
            return;
        }
        connecting = true;
        InetSocketAddress to = address;
        connector
                .connect(to, new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        Call call = new Call(to);
                        c.pipeline().addLast(new HttpClientCodec(), call);
                    }
                })
                .addListener(f -> {
                    if (!f.isSuccess()) { // with no descriptor left it is told on a thread of the library's own
                        loop.schedule(0, () -> unreached(to));
                    }
                });
    }

    private void step(InetSocketAddress at, NodeEvent.DiscoveryCall.Step step) {
        listener.logEvent(new NodeEvent.DiscoveryCall(at, step, seq));
    }

    private void unreached(InetSocketAddress to) {
        step(to, NodeEvent.DiscoveryCall.Step.UNREACHED);
        if (to == address) {
            connecting = false;
            again();
        }
    }

    private void again() {
        loop.schedule(backoff * (1 + random.nextDouble()) / 2, this::connect);
        backoff = Math.min(2 * backoff, BACKOFF_MOST);
        listener.onDiscoveryFailed();
        loop.flush();
    }

    /** What lists of one address become. */
    private final class Told implements EndpointListHandler {
        private final InetSocketAddress at;

        Told(InetSocketAddress at) {
            this.at = at;
        }

        @Override
        public void begins() {
            parts = this;
            listener.onEndpointListStarted();
        }

        @Override
        public void take(List<EndpointDescriptor> servers, boolean whole) {
            listener.onEndpoints(servers, whole);
        }

        @Override
        public void tooLong(int bound) {
            if (!tooLong) {
                listener.logNotice("discovery: the list names more than " + bound + " servers, the most that"
                        + " limits.memory_mb bears; the others are left out and none is dropped by it");
            }
            tooLong = true;
        }

        @Override
        public void spoilt(Exception what) {
            loop.logFailure("discovery", what);
        }

        @Override
        public void ends(double version, boolean whole, boolean drops) {
            if (drops && parts == this) {
                listener.onEndpointListCompleted();
            }
            if (at == address) {
                seq = Double.isNaN(version) ? seq : (long) version;
                step(at, whole ? NodeEvent.DiscoveryCall.Step.TOLD_WHOLE : NodeEvent.DiscoveryCall.Step.TOLD);
                if (whole) {
                    left.forEach(Channel::close);
                    left.clear();
                }
            }
        }
    }

    /** A connection with the call on it: heads of answers, and their bodies in pieces. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final InetSocketAddress at;
        private final EndpointListParser lists;
        private boolean watching;
        /** Refused or spoilt: what still comes is of no use. */
        private boolean over;
        /** Bytes of text in all. */
        private long came;

        private boolean timed;
        /** A watch that has told: from here on it may be silent. */
        private boolean standing;

        private double heardAt;
        private double silence;
        /** When the call was made or the list that comes began, its bytes, and how long (ms) it may take. */
        private double begunAt;

        private double bytes;
        private double allowed;

        Call(InetSocketAddress at) {
            this.at = at;
            lists = new EndpointListParser(new Told(at), most);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (at != address) { // left before it came up
                ctx.close();
                return;
            }
            connecting = false;
            channel = ctx.channel();
            call = this;
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            watching = seq >= 0;
            step(at, watching ? NodeEvent.DiscoveryCall.Step.WATCH_ASKED : NodeEvent.DiscoveryCall.Step.LIST_ASKED);
            standing = false;
            begin();
            allowed = patience;
            patience = Math.min(2 * patience, PATIENCE_MOST);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.GET, watching ? PATH + "?follow=1&since=" + seq : PATH);
            request.headers().set(HttpHeaderNames.HOST, at.getHostString() + ":" + at.getPort());
            ctx.writeAndFlush(request);
        }

        private void begin() {
            begunAt = loop.now();
            bytes = 0;
        }

        /** By when (ms) something has to come. */
        double due() {
            return standing && !lists.pending() ? heardAt + silence : begunAt + allowed + bytes / PACE;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject msg) throws IOException {
            if (msg instanceof HttpResponse r && !r.status().equals(HttpResponseStatus.OK)) {
                refused(ctx); // whatever else comes, and if it never ends
            }
            if (!over && msg instanceof HttpContent content && content.content().isReadable()) {
                text(content.content());
            }
            if (!over && msg instanceof LastHttpContent) {
                if (!watching && seq >= 0 && !lists.pending()) {
                    ask(ctx); // the list is here; the watch goes on from it
                } else {
                    ctx.close();
                }
            }
        }

        private void refused(ChannelHandlerContext ctx) {
            over = true;
            step(at, NodeEvent.DiscoveryCall.Step.REFUSED);
            if (at == address) {
                seq = -1; // no longer known there: asked again, it would be refused for ever
            }
            ctx.close();
        }

        /** An empty line of a watch tells that nothing has changed. */
        private void text(ByteBuf text) throws IOException {
            int size = text.readableBytes();
            boolean between = !lists.pending();
            long objects = lists.objects();
            long told = lists.lists();
            lists.read(text);
            came += size;
            heardAt = loop.now();
            silence = SILENT + SILENT_SPREAD * random.nextDouble();
            boolean noObject = lists.objects() == objects;
            if (!noObject || (between && lists.pending())) {
                begin();
            }
            bytes += lists.tooLong() ? 0 : size; // more of a list without an end earns it no time
            if (lists.lists() > told || (noObject && watching && !lists.pending())) {
                works();
            }
        }

        /** The next call after this one is made at once. */
        private void works() {
            standing = watching;
            if (at == address) {
                allowed = ANSWER_WITHIN;
                patience = ANSWER_WITHIN;
                backoff = BACKOFF;
                ready.complete(null);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (lists.pending() && !timed) {
                halfAList(ctx, came);
            }
            loop.flush();
        }

        /** Waits for more of this list; one that grows is waited for again. */
        private void halfAList(ChannelHandlerContext ctx, long before) {
            timed = true;
            loop.schedule(HALF_A_LIST * allowed / ANSWER_WITHIN, () -> {
                timed = false;
                if (lists.pending() && came == before) {
                    ctx.close();
                } else if (lists.pending()) {
                    halfAList(ctx, came);
                }
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws IOException {
            lists.close();
            left.remove(ctx.channel());
            step(at, NodeEvent.DiscoveryCall.Step.ENDED);
            if (ctx.channel() == channel) {
                channel = null;
                again();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            over = true;
            if (!(cause instanceof IOException) || cause instanceof JacksonException) {
                loop.logFailure("discovery", cause);
            }
            ctx.close();
        }
    }
}
