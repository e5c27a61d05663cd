package quotagateway.resp;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FixedRedisMessagePool;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisArrayAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** RESP2 on a channel: Netty's codec with the size limits of the gateway's protocol, and helpers for messages. */
public final class RespCodec {
    /** Largest value that is buffered completely; attribute lists and inline responses are shorter. */
    public static final int MAX_BUFFERED_VALUE_BYTES = 64 * 1024;
    /** Largest value that the protocol allows. */
    static final int MAX_VALUE_BYTES = 4 << 20;

    /** Longest line of a simple string, an error or an inline command. */
    private static final int MAX_LINE_BYTES = 4096;

    private static final int MAX_ARRAY_DEPTH = 4;

    private RespCodec() {}

    /**
     * Adds the handlers of the codec to a pipeline. The handlers after them receive complete messages and release them.
     *
     * @param maxElements maximum number of elements of an array
     * @return the tracker of bytes that belong to no complete message yet; the receiver reports each message to it
     */
    public static RespFrameTracker addHandlers(ChannelPipeline pipeline, int maxElements) {
        return addHandlers(pipeline, maxElements, ValueMemory.UNLIMITED, null);
    }

    /**
     * Like {@link #addHandlers(ChannelPipeline, int)}, except that a value is dropped if there is no memory for it (see
     * {@link DiscardedValue}), and that one element of an array may be too large to be buffered: its parts go to a
     * handler as they arrive, and the message has an empty value in its place.
     *
     * @param memory for the values that arrive in several reads
     * @param largeValues the handler, or null if no value may be too large to be buffered
     */
    public static RespFrameTracker addHandlers(
            ChannelPipeline pipeline, int maxElements, ValueMemory memory, LargeValueHandler largeValues) {
        RespFrameTracker frameTracker = new RespFrameTracker();
        pipeline.addLast(
                frameTracker,
                new RedisDecoder(MAX_LINE_BYTES, FixedRedisMessagePool.INSTANCE),
                new ValueSizeLimiter(frameTracker, largeValues),
                new BulkStringAssembler(frameTracker, memory),
                new RedisArrayAggregator(maxElements, MAX_ARRAY_DEPTH),
                new RedisEncoder());
        return frameTracker;
    }

    /** Returns a bulk string with the text; writing it to a channel releases it. */
    public static FullBulkStringRedisMessage bulk(ByteBufAllocator alloc, String text) {
        return new FullBulkStringRedisMessage(ByteBufUtil.writeUtf8(alloc, text));
    }

    /** Returns a command, which is an array of bulk strings. */
    public static ArrayRedisMessage command(ByteBufAllocator alloc, String... words) {
        List<RedisMessage> parts = new ArrayList<>(words.length);
        for (String word : words) {
            parts.add(bulk(alloc, word));
        }
        return new ArrayRedisMessage(parts);
    }

    /** Returns the text of a bulk string, or null if the message is of another type or a null bulk string. */
    public static String text(RedisMessage message) {
        return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull()
                ? bulk.content().toString(StandardCharsets.UTF_8)
                : null;
    }

    /** Returns whether the message is a bulk string other than null. */
    public static boolean isNonNullBulkString(RedisMessage message) {
        return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull();
    }
}
