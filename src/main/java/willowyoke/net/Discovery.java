package willowyoke.net;

import com.fasterxml.jackson.core.JacksonException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import willowyoke.Gateway;

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
final class Discovery {
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
    /** No list is as long as this (bytes); one that grows past it ends the connection. */
    private static final int LONGEST_LIST = 8 << 20;

    /** What the list's reader has of its node: clock (ms) and timers of one thread, and who is to be told. */
    interface Host {
        double now();

        Future<?> after(double delay, Runnable what);

        void listed(List<Gateway.Server> list, boolean whole);

        void discoveryFailed();

        void flush();

        void log(String where, Throwable what);
    }

    /** Opens connections; one that does not come up fails after CONNECT. */
    interface Connector {
        ChannelFuture connect(InetSocketAddress to, ChannelHandler handler);
    }

    private final Host node;
    private final Connector connector;
    private final SplittableRandom random;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    /** Watches at addresses that a new configuration has left: they count until the new one has told. */
    private final List<Channel> left = new ArrayList<>();
    private InetSocketAddress address;
    private Channel channel;
    private Call call;
    private long seq = -1;
    /** How long (ms) the next call may take to tell something whole. */
    private double patience = ANSWER_WITHIN;
    private double backoff = BACKOFF;
    private boolean connecting;

    Discovery(Host node, Connector connector, Config config) {
        this.node = node;
        this.connector = connector;
        address = config.discovery();
        random = new SplittableRandom(config.seed());
    }

    static Connector sockets(EventLoopGroup group) {
        Bootstrap bootstrap = new Bootstrap().group(group).channel(Transport.socket())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT);
        return (to, handler) -> bootstrap.clone().handler(handler).connect(to);
    }

    /** Done when discovery itself has told its list. */
    CompletableFuture<Void> ready() {
        return ready;
    }

    /** The list that was known at the start may be old: it serves until discovery answers. */
    void start(Json known) {
        if (known != null) {
            take(known, true);
        }
        connect();
        check();
    }

    /** The watch stands or is being renewed all the time. */
    void subscribe() {
        if (channel == null && !connecting) {
            connect();
        }
    }

    /** A new address: its versions are its own, so the whole list is fetched; the old watch stays so long. */
    void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
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
        node.after(CHECK, this::check);
        if (channel != null && node.now() > call.due()) {
            channel.close();
        }
    }

    private void connect() {
        if (connecting || channel != null) {
            return;
        }
        connecting = true;
        InetSocketAddress to = address;
        connector.connect(to, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel c) {
                Call call = new Call(to);
                c.pipeline().addLast(new HttpClientCodec(), new Body(call), call.lists, call);
            }
        }).addListener(f -> {
            if (!f.isSuccess()) { // with no descriptor left it is told on a thread of the library's own
                node.after(0, () -> unreached(to));
            }
        });
    }

    private void unreached(InetSocketAddress to) {
        if (to == address) {
            connecting = false;
            again();
        }
    }

    private void again() {
        node.after(backoff * (1 + random.nextDouble()) / 2, this::connect);
        backoff = Math.min(2 * backoff, BACKOFF_MOST);
        node.discoveryFailed();
        node.flush();
    }

    /** Takes a list or a change of it; false where it cannot be understood. */
    private boolean take(Json told, boolean current) {
        if (!told.get("hosts").isArray()) {
            return false;
        }
        List<Gateway.Server> servers = new ArrayList<>();
        for (Json h : told.get("hosts").elements()) {
            try {
                servers.add(server(h));
            } catch (IllegalArgumentException e) {
                node.log("discovery", e); // the others are of use
            }
        }
        boolean whole = told.get("whole").isTrue();
        seq = current ? (long) told.get("seq").number(seq) : seq;
        node.listed(servers, whole);
        if (current && whole) {
            left.forEach(Channel::close);
            left.clear();
        }
        return true;
    }

    private static Gateway.Server server(Json h) {
        Gateway.State state = switch (h.get("health").text("")) {
            case "active" -> Gateway.State.UP;
            case "left" -> Gateway.State.GONE;
            default -> Gateway.State.DRAINING; // leaving, or a word to come: nothing new is the safe reading
        };
        String dial = h.get("dial").text("");
        return new Gateway.Server(h.get("host").text(""), (int) h.get("block").number(0),
            h.get("site").text(""), state, h.get("class").text(""), h.get("born_ms").number(0),
            h.get("share").number(1),
            state == Gateway.State.GONE && dial.isEmpty() ? 0 : Config.dial(dial));
    }

    /** What the body of an answer holds: lists, which may be indented, with empty lines between them. */
    private static final class Lists extends JsonObjectDecoder {
        Lists() {
            super(LONGEST_LIST);
        }

        /** Bytes that have come of a list that is not whole yet. */
        int pending() {
            return actualReadableBytes();
        }
    }

    /** The head of an answer, then its body as bytes, then its end. */
    private static final class Body extends SimpleChannelInboundHandler<HttpObject> {
        private final Call call;
        private boolean good;

        Body(Call call) {
            this.call = call;
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, HttpObject msg) {
            if (msg instanceof HttpResponse response) {
                good = response.status().code() == HttpResponseStatus.OK.code();
                if (!good) {
                    ctx.fireChannelRead(End.REFUSED); // whatever else comes, and if it never ends
                }
            }
            if (msg instanceof HttpContent content && good && content.content().isReadable()) {
                int size = content.content().readableBytes();
                long before = call.whole;
                int pending = call.lists.pending();
                ctx.fireChannelRead(content.content().retain());
                call.heard(size, call.whole == before, pending == 0);
            }
            if (msg instanceof LastHttpContent && good) {
                ctx.fireChannelRead(End.WHOLE);
            }
        }
    }

    private enum End { WHOLE, REFUSED }

    private final class Call extends ChannelInboundHandlerAdapter {
        private final InetSocketAddress at;
        private final Lists lists = new Lists();
        private boolean watching;
        private long whole;
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
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
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
            standing = false;
            begin();
            allowed = patience;
            patience = Math.min(2 * patience, PATIENCE_MOST);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                watching ? PATH + "?follow=1&since=" + seq : PATH);
            request.headers().set(HttpHeaderNames.HOST, at.getHostString() + ":" + at.getPort());
            ctx.writeAndFlush(request);
        }

        private void begin() {
            begunAt = node.now();
            bytes = 0;
        }

        /** By when (ms) something has to come. */
        double due() {
            return standing && lists.pending() == 0 ? heardAt + silence : begunAt + allowed + bytes / PACE;
        }

        /** Text has come; an empty line of a watch tells that nothing has changed. */
        private void heard(int size, boolean noList, boolean between) {
            heardAt = node.now();
            silence = SILENT + SILENT_SPREAD * random.nextDouble();
            if (!noList || between && lists.pending() > 0) {
                begin();
            }
            bytes += size;
            if (noList && watching && lists.pending() == 0) {
                works();
            }
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object msg) throws IOException {
            if (msg instanceof ByteBuf text) {
                try {
                    list(ByteBufUtil.getBytes(text));
                } finally {
                    ReferenceCountUtil.release(text);
                }
            } else if (msg == End.WHOLE && !watching && seq >= 0) {
                ask(ctx); // the list is here; the watch goes on from it
            } else {
                if (msg == End.REFUSED && at == address) {
                    seq = -1; // no longer known there: asked again, it would be refused for ever
                }
                ctx.close();
            }
        }

        private void list(byte[] text) throws IOException {
            whole++;
            if (take(Json.read(text), at == address)) {
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

        @Override public void channelReadComplete(ChannelHandlerContext ctx) {
            if (lists.pending() > 0 && !timed) {
                halfAList(ctx, whole, lists.pending());
            }
            node.flush();
        }

        /** Waits for more of this list; one that grows is waited for again. */
        private void halfAList(ChannelHandlerContext ctx, long before, int size) {
            timed = true;
            node.after(HALF_A_LIST * allowed / ANSWER_WITHIN, () -> {
                timed = false;
                if (whole == before && lists.pending() == size) {
                    ctx.close();
                } else if (lists.pending() > 0) {
                    halfAList(ctx, whole, lists.pending());
                }
            });
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            left.remove(ctx.channel());
            if (ctx.channel() == channel) {
                channel = null;
                again();
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException) || cause instanceof JacksonException) {
                node.log("discovery", cause);
            }
            ctx.close();
        }
    }
}
