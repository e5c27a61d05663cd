package quotagateway.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import java.net.InetSocketAddress;

/** Opens TCP connections. */
public final class SocketConnector implements Connector {
    private final Bootstrap bootstrap;

    /** Connections that are not up after the timeout (ms) have failed. */
    public SocketConnector(EventLoopGroup group, int connectTimeoutMs) {
        bootstrap = new Bootstrap()
                .group(group)
                .channel(Transport.socketChannel())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
    }

    /** Has connections read one piece of at most this size in a round of the loop, so that others come between. */
    public SocketConnector withReadSize(int bytes) {
        bootstrap.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(bytes).maxMessagesPerRead(1));
        return this;
    }

    @Override
    public ChannelFuture connect(InetSocketAddress address, ChannelHandler handler) {
        return bootstrap.clone().handler(handler).connect(address);
    }
}
