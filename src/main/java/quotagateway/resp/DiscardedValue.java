package quotagateway.resp;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;

/** Takes the place of a bulk string whose content was dropped as it arrived, for want of memory. */
public final class DiscardedValue extends FullBulkStringRedisMessage {
    private final int length;

    DiscardedValue(int length) {
        super(Unpooled.EMPTY_BUFFER);
        this.length = length;
    }

    /** Returns the length (bytes) of the value that was dropped. */
    int length() {
        return length;
    }
}
