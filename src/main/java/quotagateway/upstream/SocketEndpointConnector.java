package quotagateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import quotagateway.transport.PackedAddress;
import quotagateway.transport.Transport;

/** Connects to endpoints by TCP. */
final class SocketEndpointConnector implements EndpointConnector {
    /** The most that is read at a time (bytes): so much of a large value is held here until the client takes it. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private static final int INITIAL_READ_BYTES = 1024;
    private static final int MIN_READ_BYTES = 64;
    /** The kernel's buffer (bytes): once the endpoint has ended its side, all that is in there is read at once. */
    private static final int RECEIVE_BUFFER_BYTES = 128 * 1024;

    private final Bootstrap bootstrap;

    SocketEndpointConnector(EventLoopGroup group, int connectTimeoutMs) {
        bootstrap = new Bootstrap()
                .group(group)
                .channel(Transport.socketChannel())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES));
    }

    @Override
    public ChannelFuture connect(long address, EndpointConnection connection) {
        return bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connection.addTo(channel);
                    }
                })
                .connect(PackedAddress.unpack(address));
    }
}
