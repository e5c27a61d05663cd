package quotagateway.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.ReflectiveChannelFactory;
import java.net.InetSocketAddress;

/** Opens TCP connections. */
public final class SocketConnector implements Connector {
    private final EventLoopGroup group;
    private final Bootstrap bootstrap;

    /** Connections that are not up after the timeout (ms) have failed. */
    public SocketConnector(EventLoopGroup group, int connectTimeoutMs) {
        this(group, connectTimeoutMs, new ReflectiveChannelFactory<>(Transport.socketChannel()));
    }

    SocketConnector(EventLoopGroup group, int connectTimeoutMs, ChannelFactory<? extends Channel> channels) {
        this.group = group;
        bootstrap = new Bootstrap()
                .group(group)
                .channelFactory(channels)
                .option(ChannelOption.ALLOCATOR, DirectMemory.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
    }

    /** Has connections read one piece of at most this size in a round of the loop, so that others come between. */
    public SocketConnector withReadSize(int bytes) {
        return withOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(bytes).maxMessagesPerRead(1));
    }

    /** Sets an option of all connections that are opened from here on. */
    public <T> SocketConnector withOption(ChannelOption<T> option, T value) {
        bootstrap.option(option, value);
        return this;
    }

    @Override
    public ChannelFuture connect(InetSocketAddress address, ChannelHandler handler) {
        ChannelFuture connected = bootstrap.clone().handler(handler).connect(address);
        boolean failedAtOnce = connected.isDone() && !connected.isSuccess();
        return failedAtOnce ? failedOnLoop(connected) : connected;
    }

    /**
     * Where a socket cannot be made (ENFILE, ENOBUFS), Netty has no channel, and so no event loop to report that on: it
     * calls listeners on a thread of its own. They call the policy, which runs on the event loop alone.
     */
    private ChannelFuture failedOnLoop(ChannelFuture connected) {
        EventLoop loop = group.next();
        ChannelPromise failed = new DefaultChannelPromise(connected.channel(), loop);
        loop.execute(() -> failed.setFailure(connected.cause()));
        return failed;
    }
}
