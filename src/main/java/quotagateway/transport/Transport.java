package quotagateway.transport;

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
import java.util.function.BooleanSupplier;

/**
 * The kind of sockets that the node uses: native epoll, which takes less CPU than NIO, or NIO where the
 * library of epoll cannot be loaded.
 */
public final class Transport {
    /** How often a connection is read in one round of the event loop: Netty's own number. */
    private static final int MAX_READS_PER_ROUND = 16;

    /**
     * How much is kept of a client's connection beyond the commands that are open, some thousand commands. The end of a
     * connection is told behind all in front of it, as the client's system holds back what there is no room for.
     */
    private static final int READ_AHEAD_BYTES = 256 * 1024;

    private static volatile boolean epoll = Epoll.isAvailable();

    private Transport() {}

    /** Sets the kind of sockets of what is made from here on; for tests, which run both. */
    public static void useEpoll(boolean use) {
        epoll = use;
    }

    /** How many bytes to read of a client's connection beyond the commands that are open, to see its end. */
    public static int readAheadBytes() {
        return READ_AHEAD_BYTES;
    }

    /**
     * An allocator for reads that go on behind the last bytes, and so see an end of the connection that came with
     * them; without it only epoll would.
     *
     * @param memoryShort whether as little as possible should be read now
     */
    public static RecvByteBufAllocator newReadToEndAllocator(BooleanSupplier memoryShort) {
        BoundedReceiveAllocator allocator = new BoundedReceiveAllocator(memoryShort);
        allocator.maxMessagesPerRead(MAX_READS_PER_ROUND);
        return allocator.respectMaybeMoreData(epoll);
    }

    /** A new event loop of one thread. */
    public static EventLoopGroup newEventLoop() {
        return new MultiThreadIoEventLoopGroup(1, epoll ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
    }

    /** The option that lets a second process listen at the same address. */
    public static ChannelOption<Boolean> reusePort() {
        return epoll ? UnixChannelOption.SO_REUSEPORT : NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);
    }

    /** The class of channels that connect. */
    public static Class<? extends SocketChannel> socketChannel() {
        return epoll ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    /** The class of channels that listen. */
    public static Class<? extends ServerSocketChannel> serverSocketChannel() {
        return epoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }
}
