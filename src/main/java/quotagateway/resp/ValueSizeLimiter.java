package quotagateway.resp;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.ArrayHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;

/**
 * Handler between the decoder and the aggregators. Rejects headers that announce large values, as Netty's own limit is
 * 512 MB per value, and forwards the only value that may be large to its handler as it arrives.
 */
final class ValueSizeLimiter extends ChannelInboundHandlerAdapter {
    private final RespFrameTracker frameTracker;
    /** Null if no value may be large. */
    private final LargeValueHandler largeValues;
    /** Number of elements of the current array that have been read. */
    private long elementsRead;

    private long arrayLength;
    /** Length of the large value that is being received; 0 for none. */
    private int largeValueBytes;

    ValueSizeLimiter(RespFrameTracker frameTracker, LargeValueHandler largeValues) {
        this.frameTracker = frameTracker;
        this.largeValues = largeValues;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (largeValueBytes > 0) {
            forwardPart((BulkStringRedisContent) message);
            return;
        }
        if (message instanceof ArrayHeaderRedisMessage array) {
            elementsRead = 0;
            arrayLength = array.length();
        } else if (message instanceof BulkStringHeaderRedisMessage header) {
            if (header.bulkStringLength() > RespCodec.MAX_BUFFERED_VALUE_BYTES) {
                startLargeValue(ctx, header.bulkStringLength());
                return;
            }
        } else if (endsElement(message)) {
            elementsRead++;
        }
        ctx.fireChannelRead(message);
    }

    private static boolean endsElement(Object message) {
        return message instanceof LastBulkStringRedisContent || !(message instanceof BulkStringRedisContent);
    }

    private void startLargeValue(ChannelHandlerContext ctx, int length) {
        boolean mayBeLarge = largeValues != null
                && elementsRead == largeValues.argumentIndex()
                && elementsRead < arrayLength
                && length <= RespCodec.MAX_VALUE_BYTES;
        if (!mayBeLarge || !largeValues.onValueStarted(length)) {
            throw new CodecException(
                    "bulk string is longer than the buffer limit in bytes: " + RespCodec.MAX_BUFFERED_VALUE_BYTES);
        }
        elementsRead++;
        largeValueBytes = length;
        ctx.fireChannelRead(new FullBulkStringRedisMessage(Unpooled.EMPTY_BUFFER));
    }

    private void forwardPart(BulkStringRedisContent part) {
        boolean last = part instanceof LastBulkStringRedisContent;
        if (last) {
            frameTracker.onLargeValue(largeValueBytes);
            largeValueBytes = 0;
        }
        largeValues.onValueContent(part.content(), last);
    }
}
