package quotagateway.transport;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.channel.unix.UnixChannelOption;
import java.net.StandardSocketOptions;

/** Native epoll, measured to take a fifth less CPU than NIO; NIO where its library cannot be loaded. */
public final class Transport {
    /** Tests run the other one too; set before a node is made. */
    public static volatile boolean epoll = Epoll.isAvailable();
    /** Reads of one connection in a round of the loop, as is the library's own number. */
    private static final int READS = 16;

    /**
     * Read ahead of what a client's connection takes (bytes): some hundred commands beyond the open ones.
     * Epoll, told of an end, reads up to it whatever is left; else as much as the system's buffers hold.
     */
    private static final int AHEAD = 64 * 1024;

    private static final int AHEAD_UNTOLD = 256 * 1024;

    private Transport() {}

    public static int ahead() {
        return epoll ? AHEAD : AHEAD_UNTOLD;
    }

    /** Reads on behind the last bytes, and so to an end that came with them: only epoll tells it unasked. */
    public static RecvByteBufAllocator toTheEnd() {
        AdaptiveRecvByteBufAllocator reads = new AdaptiveRecvByteBufAllocator();
        reads.maxMessagesPerRead(READS);
        return reads.respectMaybeMoreData(epoll);
    }

    public static EventLoopGroup loop() {
        return new MultiThreadIoEventLoopGroup(1, epoll ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
    }

    /** Lets a second process listen at the same address. */
    public static ChannelOption<Boolean> shared() {
        return epoll ? UnixChannelOption.SO_REUSEPORT : NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);
    }

    public static Class<? extends SocketChannel> socket() {
        return epoll ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    public static Class<? extends ServerSocketChannel> listener() {
        return epoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }
}
