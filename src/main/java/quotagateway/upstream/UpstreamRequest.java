package quotagateway.upstream;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import quotagateway.policy.api.CallOutcome;
import quotagateway.streaming.RequestBody;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;

/** A request as the pool sees it: what it sends for it, and whom it tells what becomes of its attempts. */
public interface UpstreamRequest {
    /** Encodes the command for an endpoint, with what is left of the client's time; the caller releases it. */
    ArrayRedisMessage encode(ByteBufAllocator allocator);

    /** The large body that is forwarded behind the command, or null. */
    RequestBody body();

    /** Whether an attempt must not be written any more: it has waited, and time has gone on since it was decided. */
    boolean denies(Attempt attempt);

    /** Whether another attempt may follow this one, though an endpoint may have executed it. */
    boolean mayRepeat(Attempt attempt);

    /** The last byte of an attempt has been written. */
    void onAttemptWritten();

    /**
     * An attempt has ended. The value is null unless it succeeded, and the caller releases it; the load report is
     * empty where none came.
     */
    void onAttemptEnded(Attempt attempt, CallOutcome outcome, RedisMessage value, double[] load);

    /**
     * A large value (length in bytes) has begun to come, which ends the attempt. Returns the response that it is
     * passed on by, or null where nobody waits for it.
     */
    StreamedResponse onStreamStarted(Attempt attempt, int length, ResponseSource source);
}
