package quotagateway.discovery;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;

/** Opens connections to discovery; tests put a simulated network here. */
public interface Connector {
    /**
     * Begins to connect. The future fails where the connection is not up in time.
     *
     * @param handler set up on the new channel before it becomes active
     */
    ChannelFuture connect(InetSocketAddress address, ChannelHandler handler);
}
