package quotagateway.transport;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;

/** Opens the connections of a client; tests put a simulated network here. */
public interface Connector {
    /**
     * Begins to connect. The future fails where the connection is not up in time. Where no channel could be made, for
     * want of a descriptor, its listeners are called on a thread that is not the event loop's.
     *
     * @param handler set up on the new channel before it becomes active
     */
    ChannelFuture connect(InetSocketAddress address, ChannelHandler handler);
}
