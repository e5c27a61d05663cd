package quotagateway.streaming;

import io.netty.handler.codec.redis.RedisMessage;

/** The place of a {@link StreamedResponse} among the responses that a client's connection owes. */
public interface ResponseSink {
    /** Gives a whole response in the stream's place; nothing of the stream has been written. */
    void respond(RedisMessage message);

    /** The rest of the stream does not come: the client's connection is ended behind what was written. */
    void abort();

    /** The last byte of the stream has been written to the connection. */
    void onStreamCompleted();
}
