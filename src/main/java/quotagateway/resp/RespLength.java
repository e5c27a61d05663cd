package quotagateway.resp;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.redis.AbstractStringRedisMessage;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.IntegerRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;

/** How many bytes a message takes on the wire, in its shortest form. */
final class RespLength {
    private static final long LINE_END_BYTES = 2;
    /** The type's mark in front of a line, and the line's end. */
    private static final long LINE_BYTES = 1 + LINE_END_BYTES;
    /** An array or bulk string that is null, as "-1" on a line. */
    private static final long NULL_BYTES = LINE_BYTES + 2;

    private RespLength() {}

    /** The length of a whole message; 0 for one of a kind that the decoder does not make. */
    static long of(RedisMessage message) {
        if (message instanceof ArrayRedisMessage array) {
            return ofArray(array);
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
        long length = LINE_BYTES + digits(array.children().size());
        for (RedisMessage child : array.children()) {
            length += of(child);
        }
        return length;
    }

    /** The length of a bulk string with so many bytes of content. */
    static long ofBulkString(int contentBytes) {
        return LINE_BYTES + digits(contentBytes) + contentBytes + LINE_END_BYTES;
    }

    private static int digits(int size) {
        return Integer.toString(size).length();
    }
}
