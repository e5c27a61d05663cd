package quotagateway.discovery;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;

/** Opens connections; one that does not come up fails after CONNECT. */
public interface Connector {
    ChannelFuture connect(InetSocketAddress to, ChannelHandler handler);
}
