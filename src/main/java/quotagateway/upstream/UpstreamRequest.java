package quotagateway.upstream;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import quotagateway.policy.api.CallOutcome;
import quotagateway.streaming.RequestBody;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;

/** A request whose attempts go out to endpoints: what the pool sends for it, and whom it tells what became of that. */
public interface UpstreamRequest {
    /** The command as an endpoint is to get it now, with what is left of the client's time; the caller releases it. */
    ArrayRedisMessage encode(ByteBufAllocator allocator);

    /** The large value that is passed through behind the command, or null. */
    RequestBody body();

    /** Whether an attempt must not be written any more, as time has gone on since it was decided. */
    boolean denies(Attempt attempt);

    /** The last byte of an attempt is written. */
    void onAttemptWritten();

    /** An attempt has ended; value is null unless it succeeded, and still the caller's to release. */
    void onAttemptEnded(Attempt attempt, CallOutcome outcome, RedisMessage value, double[] load);

    /**
     * A large value (length in bytes) has begun to come, which ends the attempt. Returns the response that the value
     * is passed on by, or null where nobody waits for it.
     */
    StreamedResponse onStreamStarted(Attempt attempt, int length, ResponseSource source);
}
