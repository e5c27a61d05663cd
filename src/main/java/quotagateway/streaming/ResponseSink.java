package quotagateway.streaming;

import io.netty.handler.codec.redis.RedisMessage;

/** The client's end of a streamed response. */
public interface ResponseSink {
    /** Gives a whole response in the stream's place. */
    void respond(RedisMessage message);

    /** The rest does not come: the client's connection is ended behind what was written. */
    void abort();

    /** The last byte is written. */
    void onStreamCompleted();
}
