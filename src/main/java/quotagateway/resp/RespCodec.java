package quotagateway.resp;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FixedRedisMessagePool;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisArrayAggregator;
import io.netty.handler.codec.redis.RedisBulkStringAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** RESP2 on a channel: Netty's codec, held within the bounds of the gateway's protocol; and helpers for messages. */
public final class RespCodec {
    /** A value up to this size is buffered whole: lists of names and values and inline responses are shorter. */
    public static final int MAX_BUFFERED_VALUE_BYTES = 64 * 1024;
    /** The largest value of the protocol. */
    static final int MAX_VALUE_BYTES = 4 << 20;

    /** The longest line, of a simple string, an error or an inline command. */
    private static final int MAX_LINE_BYTES = 4096;

    private static final int MAX_ARRAY_DEPTH = 4;

    private RespCodec() {}

    /**
     * Adds the handlers of the codec to a pipeline: behind them come whole messages, which their receiver releases.
     *
     * @param maxElements the most elements of an array
     * @return the count of bytes that belong to no whole message; the receiver tells it of each message
     */
    public static RespFrameTracker addHandlers(ChannelPipeline pipeline, int maxElements) {
        return addHandlers(pipeline, maxElements, null);
    }

    /**
     * As {@link #addHandlers(ChannelPipeline, int)}, but one element of an array may be larger than is buffered: it
     * goes to a handler as it comes, and the message has an empty value in its place.
     */
    public static RespFrameTracker addHandlers(
            ChannelPipeline pipeline, int maxElements, LargeValueHandler largeValues) {
        RespFrameTracker frames = new RespFrameTracker();
        pipeline.addLast(
                frames,
                new RedisDecoder(MAX_LINE_BYTES, FixedRedisMessagePool.INSTANCE),
                new ValueSizeLimiter(frames, largeValues),
                new RedisBulkStringAggregator(),
                new RedisArrayAggregator(maxElements, MAX_ARRAY_DEPTH),
                new RedisEncoder());
        return frames;
    }

    /** A bulk string of a text; the one who writes it releases it. */
    public static FullBulkStringRedisMessage bulk(ByteBufAllocator alloc, String text) {
        return new FullBulkStringRedisMessage(ByteBufUtil.writeUtf8(alloc, text));
    }

    /** A command: an array of bulk strings. */
    public static ArrayRedisMessage command(ByteBufAllocator alloc, String... words) {
        List<RedisMessage> parts = new ArrayList<>(words.length);
        for (String word : words) {
            parts.add(bulk(alloc, word));
        }
        return new ArrayRedisMessage(parts);
    }

    /** The text of a bulk string; null where the message is another or a null. */
    public static String text(RedisMessage message) {
        return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull()
                ? bulk.content().toString(StandardCharsets.UTF_8)
                : null;
    }

    /** Whether the message is a bulk string, and not a null. */
    public static boolean isValue(RedisMessage message) {
        return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull();
    }
}
