package quotagateway.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import quotagateway.transport.AcceptFailureHandler;
import quotagateway.transport.DirectMemory;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.Transport;

/**
 * The admin endpoint: HTTP/1.1, one request per connection. It shares the node's event loop and file descriptors, so
 * the size of a request, the number of connections and their lifetime are limited. At the limit a new connection evicts
 * the oldest one that has not sent a complete request.
 */
public final class AdminServer {
    public static final String HEALTH_PATH = "/admin/health";
    public static final String METRICS_PATH = "/admin/stats";
    public static final String CORDON_PATH = "/admin/cordon/";
    public static final String UNCORDON_PATH = "/admin/uncordon/";

    /** Limit of open connections: scrapes and manual calls are few, and the descriptors are needed for clients. */
    public static final int MAX_CONNECTIONS = 16;

    private static final int BACKLOG = 128;
    /** Longest request line; requests are short, and so are the heads that callers normally send. */
    private static final int MAX_LINE_BYTES = 1024;

    private static final int MAX_HEAD_BYTES = 4096;
    private static final int MAX_BODY_BYTES = 1024;
    /** Time (ms) from accept to close of a connection; a response is due within 1 s. */
    private static final double MAX_LIFETIME_MS = 2000;

    private final EventLoopContext loop;
    private final AdminOperations operations;
    /** All open connections, the oldest first. */
    private final Set<SocketChannel> openConnections = new LinkedHashSet<>();
    /** Connections that have sent no complete request yet, the oldest first. */
    private final Set<SocketChannel> awaitingRequest = new LinkedHashSet<>();

    public AdminServer(EventLoopContext loop, AdminOperations operations) {
        this.loop = loop;
        this.operations = operations;
    }

    /** Binds and returns the bound address; throws {@link IOException} if the address cannot be bound. */
    public SocketAddress bind(EventLoopGroup group, InetSocketAddress address) throws IOException {
        try {
            return bootstrap(group).bind(address).sync().channel().localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding " + address, e);
        }
    }

    private ServerBootstrap bootstrap(EventLoopGroup group) {
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
                .childOption(ChannelOption.ALLOCATOR, DirectMemory.allocator())
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                });
    }

    private void accept(SocketChannel channel) {
        channel.pipeline()
                .addLast(
                        new HttpRequestDecoder(new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_LINE_BYTES)
                                .setMaxHeaderSize(MAX_HEAD_BYTES)),
                        new HttpResponseEncoder(),
                        new HttpObjectAggregator(MAX_BODY_BYTES, true),
                        new AdminRequestHandler(this, channel));
        openConnections.add(channel);
        awaitingRequest.add(channel);
        if (openConnections.size() > MAX_CONNECTIONS) {
            evictOne();
        }
        loop.schedule(MAX_LIFETIME_MS, channel::close);
    }

    /** Closes the oldest connection without a complete request, or the oldest of all if only the newest has none. */
    private void evictOne() {
        Set<SocketChannel> candidates = awaitingRequest.size() > 1 ? awaitingRequest : openConnections;
        candidates.iterator().next().close();
    }

    AdminOperations operations() {
        return operations;
    }

    EventLoopContext loop() {
        return loop;
    }

    void onRequestComplete(SocketChannel channel) {
        awaitingRequest.remove(channel);
    }

    void onClosed(SocketChannel channel) {
        openConnections.remove(channel);
        awaitingRequest.remove(channel);
    }
}
