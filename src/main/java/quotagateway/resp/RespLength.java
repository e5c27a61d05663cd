package quotagateway.resp;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.redis.AbstractStringRedisMessage;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.IntegerRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;

/** Computes the encoded length of a message in its shortest form. */
final class RespLength {
    private static final long LINE_END_BYTES = 2;
    /** The type byte at the start of a line, and the line end. */
    private static final long LINE_BYTES = 1 + LINE_END_BYTES;
    /** A null array or null bulk string, which is a line with "-1". */
    private static final long NULL_BYTES = LINE_BYTES + 2;

    private RespLength() {}

    /** Returns the length of a complete message, or 0 for a message type that the decoder does not produce. */
    static long of(RedisMessage message) {
        if (message instanceof ArrayRedisMessage array) {
            return ofArray(array);
        }
        if (message instanceof DiscardedValue discarded) {
            return ofBulkString(discarded.length());
        }
        if (message instanceof FullBulkStringRedisMessage bulk) {
            return bulk.isNull() ? NULL_BYTES : ofBulkString(bulk.content().readableBytes());
        }
        if (message instanceof AbstractStringRedisMessage line) { // simple strings and errors
            return LINE_BYTES + ByteBufUtil.utf8Bytes(line.content());
        }
        return message instanceof IntegerRedisMessage number
                ? LINE_BYTES + Long.toString(number.value()).length()
                : 0;
    }

    private static long ofArray(ArrayRedisMessage array) {
        if (array.isNull()) {
            return NULL_BYTES;
        }
        long length = LINE_BYTES + digitCount(array.children().size());
        for (RedisMessage child : array.children()) {
            length += of(child);
        }
        return length;
    }

    /** Returns the length of a bulk string with this number of content bytes. */
    static long ofBulkString(int contentBytes) {
        return LINE_BYTES + digitCount(contentBytes) + contentBytes + LINE_END_BYTES;
    }

    private static int digitCount(int size) {
        return Integer.toString(size).length();
    }
}
