package quotagateway.resp;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.AbstractStringRedisMessage;
import io.netty.handler.codec.redis.ArrayHeaderRedisMessage;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.IntegerRedisMessage;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;
import io.netty.handler.codec.redis.RedisArrayAggregator;
import io.netty.handler.codec.redis.RedisBulkStringAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** RESP2 on a channel: the library's codec, held within this protocol's bounds. */
public final class RespCodec {
    /** A value up to this is gathered whole; the lists of names and values and inline answers are shorter. */
    public static final int VALUE = 64 * 1024;
    /** The most that one value holds. */
    static final int LARGEST = 4 << 20;

    private static final int LINE = 4096;
    private static final int DEPTH = 4;

    private RespCodec() {}

    /** Adds the codec: whole messages in, messages out; the largest array told bounds what is kept of one. */
    public static RespFrameTracker codec(ChannelPipeline pipeline, int mostElements) {
        return codec(pipeline, mostElements, null);
    }

    /** The same, but one value of an array may be large: an empty one stands for it in the message. */
    public static RespFrameTracker codec(ChannelPipeline pipeline, int mostElements, LargeValueHandler large) {
        RespFrameTracker raw = new RespFrameTracker();
        pipeline.addLast(
                raw,
                new RedisDecoder(LINE, io.netty.handler.codec.redis.FixedRedisMessagePool.INSTANCE),
                new Bounds(raw, large),
                new RedisBulkStringAggregator(),
                new RedisArrayAggregator(mostElements, DEPTH),
                new RedisEncoder());
        return raw;
    }

    /** The bytes of a message in its shortest form. */
    static long length(RedisMessage message) {
        if (message instanceof ArrayRedisMessage array) {
            return array.isNull()
                    ? 5
                    : digits(array.children().size())
                            + 3
                            + array.children().stream()
                                    .mapToLong(RespCodec::length)
                                    .sum();
        }
        if (message instanceof FullBulkStringRedisMessage bulk) {
            int size = bulk.isNull() ? -1 : bulk.content().readableBytes();
            return size < 0 ? 5 : digits(size) + 5 + size;
        }
        if (message instanceof AbstractStringRedisMessage line) { // simple strings and errors
            return ByteBufUtil.utf8Bytes(line.content()) + 3L;
        }
        return message instanceof IntegerRedisMessage number
                ? Long.toString(number.value()).length() + 3
                : 0;
    }

    static int digits(int size) {
        return Integer.toString(size).length();
    }

    /** Guards against headers that announce gigabytes: the library's own bound is 512 MB a value. */
    private static final class Bounds extends ChannelInboundHandlerAdapter {
        private final RespFrameTracker raw;
        private final LargeValueHandler large;
        /** Elements of the array so far, and all of them. */
        private long elements;

        private long size;
        private int streaming;

        Bounds(RespFrameTracker raw, LargeValueHandler large) {
            this.raw = raw;
            this.large = large;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (streaming > 0) {
                boolean last = msg instanceof LastBulkStringRedisContent;
                if (last) {
                    raw.large(streaming);
                    streaming = 0;
                }
                large.onValueContent(((BulkStringRedisContent) msg).content(), last);
                return;
            }
            if (msg instanceof ArrayHeaderRedisMessage array) {
                elements = 0;
                size = array.length();
            } else if (msg instanceof BulkStringHeaderRedisMessage header) {
                if (header.bulkStringLength() > VALUE) {
                    begin(ctx, header.bulkStringLength());
                    return;
                }
            } else {
                boolean part = msg instanceof BulkStringRedisContent;
                elements += part && !(msg instanceof LastBulkStringRedisContent) ? 0 : 1;
            }
            ctx.fireChannelRead(msg);
        }

        private void begin(ChannelHandlerContext ctx, int length) {
            if (large == null
                    || elements != large.argumentIndex()
                    || elements >= size
                    || length > LARGEST
                    || !large.onValueStarted(length)) {
                throw new CodecException("a value of more than " + VALUE);
            }
            elements++;
            streaming = length;
            ctx.fireChannelRead(new FullBulkStringRedisMessage(Unpooled.EMPTY_BUFFER));
        }
    }

    public static FullBulkStringRedisMessage bulk(ByteBufAllocator alloc, String text) {
        return new FullBulkStringRedisMessage(ByteBufUtil.writeUtf8(alloc, text));
    }

    public static ArrayRedisMessage command(ByteBufAllocator alloc, String... words) {
        List<RedisMessage> parts = new ArrayList<>(words.length);
        for (String word : words) {
            parts.add(bulk(alloc, word));
        }
        return new ArrayRedisMessage(parts);
    }

    /** The text of a bulk string, or null where the message is none. */
    public static String text(RedisMessage message) {
        return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull()
                ? bulk.content().toString(StandardCharsets.UTF_8)
                : null;
    }

    public static boolean isValue(RedisMessage message) {
        return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull();
    }
}
