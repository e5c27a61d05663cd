package quotagateway.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import java.net.InetSocketAddress;
import quotagateway.transport.Transport;

/** Opens TCP connections to the discovery agent. */
public final class SocketConnector implements Connector {
    /**
     * A connection that is not up by then (ms) has failed. The agent is on this machine: where the first packet is
     * lost, a new connection is quicker than TCP's own repetition after 1 s.
     */
    static final int CONNECT_TIMEOUT_MS = 500;
    /** A long list is read in pieces of this size, some 0.3 ms of parsing each, so that requests come between them. */
    private static final int READ_SIZE_BYTES = 16 << 10;

    private final Bootstrap bootstrap;

    public SocketConnector(EventLoopGroup group) {
        bootstrap = new Bootstrap()
                .group(group)
                .channel(Transport.socket())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(READ_SIZE_BYTES).maxMessagesPerRead(1));
    }

    @Override
    public ChannelFuture connect(InetSocketAddress address, ChannelHandler handler) {
        return bootstrap.clone().handler(handler).connect(address);
    }
}
