package quotagateway.transport;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;

/** Opens the connections of a client; tests put a simulated network here. */
public interface Connector {
    /**
     * Begins to connect. The future fails where the connection is not up in time, or no socket could be made. Its
     * listeners are called on the event loop, and never during this call where it fails.
     *
     * @param handler set up on the new channel before it becomes active
     */
    ChannelFuture connect(InetSocketAddress address, ChannelHandler handler);
}
