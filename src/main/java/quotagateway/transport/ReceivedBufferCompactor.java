package quotagateway.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * First handler of a connection whose messages stay in the buffers that they were read into. A read takes a buffer as
 * large as the reads before it were; if less than half of it was filled, the bytes are copied into one that fits.
 */
@Sharable
public final class ReceivedBufferCompactor extends ChannelInboundHandlerAdapter {
    /** The only instance, as it has no state. */
    public static final ReceivedBufferCompactor INSTANCE = new ReceivedBufferCompactor();
    /** A smaller buffer (bytes) costs less than its copy. */
    private static final int MIN_COMPACTED_BYTES = 512;

    private ReceivedBufferCompactor() {}

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ctx.fireChannelRead(message instanceof ByteBuf buffer && isWasteful(buffer) ? compact(ctx, buffer) : message);
    }

    private static boolean isWasteful(ByteBuf buffer) {
        return buffer.capacity() > MIN_COMPACTED_BYTES && buffer.readableBytes() < buffer.capacity() / 2;
    }

    private static ByteBuf compact(ChannelHandlerContext ctx, ByteBuf buffer) {
        try {
            return ctx.alloc().buffer(buffer.readableBytes()).writeBytes(buffer);
        } finally {
            buffer.release();
        }
    }
}
