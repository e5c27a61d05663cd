package quotagateway.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.redis.RedisMessage;

/** Counts incoming bytes before they are decoded, as the decoder does not report incomplete messages. */
public final class RespFrameTracker extends ChannelInboundHandlerAdapter {
    private long pendingBytes;
    /** Length of the values of the message that is being received, except a large one. */
    private long valueBytes;

    /** Returns the number of received bytes that belong to no complete message yet. */
    public long pendingBytes() {
        return pendingBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        pendingBytes += ((ByteBuf) message).readableBytes();
        ctx.fireChannelRead(message);
    }

    /**
     * Removes a large value from the count after its parts were forwarded; the empty value that replaces it in the
     * message is counted with the message.
     */
    void onLargeValue(int contentBytes) {
        pendingBytes -= RespLength.ofBulkString(contentBytes) - RespLength.ofBulkString(0);
    }

    /**
     * Adds a value to the message that is being received.
     *
     * @return the length (bytes) of its values so far
     */
    long addValue(int length) {
        valueBytes += length;
        return valueBytes;
    }

    /**
     * Removes a complete message from the count; the owner of the connection calls this for each message. If a message
     * was not encoded in its shortest form, the difference stays in the count permanently.
     */
    public void onMessageComplete(RedisMessage message) {
        pendingBytes -= RespLength.of(message);
        valueBytes = 0;
    }
}
