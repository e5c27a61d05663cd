package quotagateway.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;

/**
 * Joins the parts of a bulk string. They are copied into one buffer that grows with them, so that a value which arrives
 * in many reads holds about its own size: a part that is kept would keep the whole buffer that it was read into. A
 * value that there is no memory for is dropped as it arrives, and a {@link DiscardedValue} takes its place.
 */
final class BulkStringAssembler extends ChannelInboundHandlerAdapter {
    /** Most bytes of a value that are held even while memory is short. */
    private static final int SMALL_VALUE_BYTES = 4096;
    /** A message has one long value at the most; the rest of it is short. */
    private static final int MAX_MESSAGE_BYTES = 2 * RespCodec.MAX_BUFFERED_VALUE_BYTES;

    private final RespFrameTracker frameTracker;
    private final ValueMemory memory;
    /** The bytes of the value that have arrived; null for none. */
    private ByteBuf received;

    private int length;
    private boolean incomplete;
    private boolean discarding;

    BulkStringAssembler(RespFrameTracker frameTracker, ValueMemory memory) {
        this.frameTracker = frameTracker;
        this.memory = memory;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof FullBulkStringRedisMessage) { // empty or null, which has no parts
            ctx.fireChannelRead(message);
        } else if (message instanceof BulkStringHeaderRedisMessage header) {
            begin(header.bulkStringLength());
        } else if (message instanceof BulkStringRedisContent part) {
            append(ctx, part.content(), part instanceof LastBulkStringRedisContent);
        } else {
            ctx.fireChannelRead(message);
        }
    }

    private void begin(int valueLength) {
        length = valueLength;
        discarding = false;
        incomplete = true;
        if (frameTracker.addValue(valueLength) > MAX_MESSAGE_BYTES) {
            throw new CodecException("message is longer than " + MAX_MESSAGE_BYTES + " bytes");
        }
    }

    private void append(ChannelHandlerContext ctx, ByteBuf part, boolean last) {
        if (!discarding && !hasRoomFor(ctx, part)) {
            discarding = true;
            release();
        }
        if (discarding) {
            part.release();
        } else if (last && received == null) {
            received = part;
        } else {
            copy(ctx, part);
        }
        if (last) {
            incomplete = false;
            ctx.fireChannelRead(discarding ? new DiscardedValue(length) : new FullBulkStringRedisMessage(take()));
        }
    }

    private boolean hasRoomFor(ChannelHandlerContext ctx, ByteBuf part) {
        int heldBytes = received == null ? 0 : received.capacity();
        int neededBytes = (received == null ? 0 : received.readableBytes()) + part.readableBytes();
        if (neededBytes <= SMALL_VALUE_BYTES || neededBytes <= heldBytes) {
            return true;
        }
        return memory.hasRoomFor(ctx.alloc().calculateNewCapacity(neededBytes, length) - heldBytes);
    }

    private void copy(ChannelHandlerContext ctx, ByteBuf part) {
        try {
            if (received == null) {
                received = ctx.alloc().buffer(part.readableBytes(), length);
            }
            received.writeBytes(part);
        } finally {
            part.release();
        }
    }

    private ByteBuf take() {
        ByteBuf value = received;
        received = null;
        return value;
    }

    private void release() {
        if (received != null) {
            take().release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        release();
        if (incomplete) {
            ctx.fireExceptionCaught(new PrematureChannelClosureException("the end of a bulk string is missing"));
        }
        ctx.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        release();
    }
}
