package quotagateway.upstream;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import quotagateway.transport.Connector;
import quotagateway.transport.PackedAddress;
import quotagateway.transport.SocketConnector;

/** Connects to endpoints by TCP. */
final class SocketEndpointConnector implements EndpointConnector {
    /** The most that is read at a time (bytes): so much of a large value is held here until the client takes it. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    /** Unsent part of a large value (bytes) at which no more of it is taken from the client until half is sent. */
    private static final int MAX_UNSENT_BYTES = 32 * 1024;

    private static final int INITIAL_READ_BYTES = 1024;
    private static final int MIN_READ_BYTES = 64;
    /** The kernel's buffer (bytes): once the endpoint has ended its side, all that is in there is read at once. */
    private static final int RECEIVE_BUFFER_BYTES = 128 * 1024;

    private final Connector connector;

    SocketEndpointConnector(EventLoopGroup group, int connectTimeoutMs) {
        connector = new SocketConnector(group, connectTimeoutMs)
                .withOption(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .withOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
                .withOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES));
    }

    @Override
    public ChannelFuture connect(long address, EndpointConnection connection) {
        return connector.connect(PackedAddress.unpack(address), new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                connection.addTo(channel);
            }
        });
    }
}
