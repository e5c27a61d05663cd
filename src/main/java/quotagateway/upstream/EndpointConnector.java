package quotagateway.upstream;

import io.netty.channel.ChannelFuture;

/** Opens connections to endpoints. */
interface EndpointConnector {
    /**
     * Connects to a packed address, on a channel that is given to {@link EndpointConnection#addTo}; the future is
     * completed once that is up or has failed, on the event loop; it does not fail during this call.
     *
     * @see quotagateway.transport.PackedAddress
     */
    ChannelFuture connect(long address, EndpointConnection connection);
}
