package quotagateway.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;

/** What the kernel knows of when bytes came on a connection. */
public final class SocketAge {
    private SocketAge() {}

    /**
     * How long ago (ms) the last bytes came on a connection, whether or not they were read; 0 where that cannot be
     * told, as with NIO.
     */
    public static double sinceLastBytesMs(Channel channel) {
        if (!(channel instanceof EpollSocketChannel socket)) {
            return 0;
        }
        try {
            return Math.max(0, socket.tcpInfo().lastDataRecv());
        } catch (ChannelException e) {
            return 0; // closed meanwhile, or a kernel that does not tell
        }
    }
}
