package quotagateway.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.redis.RedisMessage;

/** Counts the bytes that come in before they are decoded, as the decoder does not tell of part of a message. */
public final class RespFrameTracker extends ChannelInboundHandlerAdapter {
    private long pendingBytes;

    /** Bytes that have come and belong to no whole message yet. */
    public long pendingBytes() {
        return pendingBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        pendingBytes += ((ByteBuf) message).readableBytes();
        ctx.fireChannelRead(message);
    }

    /** A value was passed on as it came; an empty one stands for it in its message, and is counted there. */
    void onLargeValue(int contentBytes) {
        pendingBytes -= RespLength.ofBulkString(contentBytes) - RespLength.ofBulkString(0);
    }

    /**
     * Takes a whole message off the count; the owner of the connection calls it for each. A message that came in
     * another than the shortest form leaves the difference in the count for good.
     */
    public void onMessageComplete(RedisMessage message) {
        pendingBytes -= RespLength.of(message);
    }
}
