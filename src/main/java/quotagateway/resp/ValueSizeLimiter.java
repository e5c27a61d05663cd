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
 * Between the decoder and the aggregators: refuses headers that announce large values, as Netty's own bound is 512 MB a
 * value, and passes the one value that may be large on to its handler as it comes.
 */
final class ValueSizeLimiter extends ChannelInboundHandlerAdapter {
    private final RespFrameTracker frames;
    /** Null where no value may be large. */
    private final LargeValueHandler largeValues;
    /** Elements of the current array that have come, and all of them. */
    private long elementsRead;

    private long arrayLength;
    /** The length of the large value that is coming; 0 for none. */
    private int largeValueBytes;

    ValueSizeLimiter(RespFrameTracker frames, LargeValueHandler largeValues) {
        this.frames = frames;
        this.largeValues = largeValues;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (largeValueBytes > 0) {
            passOn((BulkStringRedisContent) message);
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
            throw new CodecException("a value of more than " + RespCodec.MAX_BUFFERED_VALUE_BYTES);
        }
        elementsRead++;
        largeValueBytes = length;
        ctx.fireChannelRead(new FullBulkStringRedisMessage(Unpooled.EMPTY_BUFFER));
    }

    private void passOn(BulkStringRedisContent part) {
        boolean last = part instanceof LastBulkStringRedisContent;
        if (last) {
            frames.onLargeValue(largeValueBytes);
            largeValueBytes = 0;
        }
        largeValues.onValueContent(part.content(), last);
    }
}
