package quotagateway.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.redis.RedisMessage;

/** Counts what comes in before it is decoded, as the decoder hides half a message. */
public final class RespFrameTracker extends ChannelInboundHandlerAdapter {
    /** Bytes that have come and belong to no whole message yet. */
    public long pendingBytes;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        pendingBytes += ((ByteBuf) msg).readableBytes();
        ctx.fireChannelRead(msg);
    }

    /** A large value has come; the message will count an empty one in its place. */
    void large(int size) {
        pendingBytes -= RespCodec.digits(size) - RespCodec.digits(0) + size;
    }

    /** A whole message has come; one in another than the shortest form leaves a difference for good. */
    public void onMessageComplete(RedisMessage message) {
        pendingBytes -= RespCodec.length(message);
    }
}
