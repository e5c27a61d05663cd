package quotagateway.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import quotagateway.transport.AcceptFailureHandler;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.Transport;

/**
 * The operators' door: HTTP/1.1, one call a connection. It shares the node's loop and its sockets, so all of
 * it is bounded: who says nothing, or half a call, gives way to the next caller and is ended soon anyway.
 */
public final class AdminServer {
    public static final String HEALTH = "/admin/health";
    public static final String STATS = "/admin/stats";
    private static final String CORDON = "/admin/cordon/";
    public static final String UNCORDON = "/admin/uncordon/";
    private static final int BACKLOG = 128;
    /** Calls are short, and so is every head that a sane caller sends (bytes). */
    private static final int LINE = 1024;

    private static final int HEAD = 4096;
    private static final int BODY = 1024;
    /** So many callers at a time: scrapes and calls by hand are few, and the sockets are the clients'. */
    public static final int MAX_CONNECTIONS = 16;
    /** From accept to the end of a connection (ms); an answer is due within 1 s. */
    private static final double LIFE = 2000;

    private static final String TEXT = "text/plain; charset=utf-8";

    private final EventLoopContext loop;
    private final AdminOperations operations;
    /** Those that have sent no whole call yet, the oldest first, and all. */
    private final Set<SocketChannel> silent = new LinkedHashSet<>();

    private final Set<SocketChannel> open = new LinkedHashSet<>();

    public AdminServer(EventLoopContext loop, AdminOperations operations) {
        this.loop = loop;
        this.operations = operations;
    }

    /** Binds, and tells where; throws where the address cannot be had. */
    public SocketAddress bind(EventLoopGroup group, InetSocketAddress address) throws IOException {
        try {
            return new ServerBootstrap()
                    .group(group)
                    .channel(Transport.serverSocketChannel())
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .handler(new ChannelInitializer<ServerSocketChannel>() {
                        @Override
                        protected void initChannel(ServerSocketChannel channel) {
                            channel.pipeline()
                                    .addLast(new AcceptFailureHandler(
                                            loop, () -> channel.config().setAutoRead(true)));
                        }
                    })
                    .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            taken(channel);
                        }
                    })
                    .bind(address)
                    .sync()
                    .channel()
                    .localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private void taken(SocketChannel channel) {
        channel.pipeline()
                .addLast(
                        new HttpRequestDecoder(new HttpDecoderConfig()
                                .setMaxInitialLineLength(LINE)
                                .setMaxHeaderSize(HEAD)),
                        new HttpResponseEncoder(),
                        new HttpObjectAggregator(BODY, true),
                        new Caller(channel));
        open.add(channel);
        silent.add(channel);
        if (open.size() > MAX_CONNECTIONS) { // who has not finished its call goes first, then who was answered
            (silent.size() > 1 ? silent : open).iterator().next().close();
        }
        loop.schedule(LIFE, channel::close);
    }

    private static FullHttpResponse response(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.buffer(text.length());
        ByteBufUtil.writeUtf8(body, text);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, TEXT)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }

    /** One caller, of which one call is heard. */
    private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;
        private boolean heard;

        Caller(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
            if (heard) {
                return;
            }
            heard = true;
            silent.remove(channel);
            if (call.decoderResult().isFailure()) {
                Throwable cause = call.decoderResult().cause();
                answer(
                        cause instanceof TooLongHttpLineException
                                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                                : cause instanceof TooLongHttpHeaderException
                                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                        : HttpResponseStatus.BAD_REQUEST,
                        "malformed\n");
                return;
            }
            route(call.method(), call.uri());
        }

        private void route(HttpMethod method, String uri) {
            String path;
            try {
                path = new QueryStringDecoder(uri).path();
            } catch (IllegalArgumentException e) { // half an escape
                answer(HttpResponseStatus.BAD_REQUEST, "malformed\n");
                return;
            }
            if (path.startsWith(CORDON) || path.startsWith(UNCORDON)) {
                if (allowed(method, HttpMethod.POST)) {
                    boolean out = path.startsWith(CORDON);
                    operations.cordon(path.substring((out ? CORDON : UNCORDON).length()), out, this::cordoned);
                }
            } else if (path.equals(HEALTH)) {
                if (allowed(method, HttpMethod.GET)) {
                    boolean yes = operations.acceptsClients();
                    answer(
                            yes ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                            yes ? "takes clients\n" : "takes no clients\n");
                }
            } else if (path.equals(STATS)) {
                if (allowed(method, HttpMethod.GET)) {
                    FullHttpResponse figures = response(HttpResponseStatus.OK, operations.metricsText());
                    figures.headers().set(HttpHeaderNames.CONTENT_TYPE, Metrics.CONTENT_TYPE);
                    write(figures);
                }
            } else {
                answer(HttpResponseStatus.NOT_FOUND, "no such call\n");
            }
        }

        private void cordoned(CordonResult result) {
            switch (result) {
                case DONE -> answer(HttpResponseStatus.OK, "done\n");
                case UNKNOWN -> answer(HttpResponseStatus.NOT_FOUND, "no list has named it\n");
                default -> answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "not kept\n");
            }
        }

        private boolean allowed(HttpMethod method, HttpMethod only) {
            if (method.equals(only)) {
                return true;
            }
            FullHttpResponse no = response(HttpResponseStatus.METHOD_NOT_ALLOWED, "not this method\n");
            no.headers().set(HttpHeaderNames.ALLOW, only.name());
            write(no);
            return false;
        }

        private void answer(HttpResponseStatus status, String text) {
            write(response(status, text));
        }

        /** Ends our side behind the answer and reads on: a reset for what is unread could eat the answer. */
        private void write(FullHttpResponse response) {
            channel.writeAndFlush(response).addListener(f -> {
                channel.shutdownOutput();
                if (channel.isInputShutdown()) {
                    channel.close();
                }
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open.remove(channel);
            silent.remove(channel);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent && (!heard || channel.isOutputShutdown())) {
                ctx.close(); // else it waits for its answer with its own side ended
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException) && !(cause instanceof CodecException)) {
                loop.logFailure("admin call", cause);
            }
            ctx.close();
        }
    }
}
