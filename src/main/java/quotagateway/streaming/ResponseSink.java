package quotagateway.streaming;

import io.netty.handler.codec.redis.RedisMessage;

/** The position of a {@link StreamedResponse} among the responses that a client's connection owes. */
public interface ResponseSink {
    /** Replaces the stream, of which nothing has been written, by a complete response. */
    void respond(RedisMessage message);

    /** Closes the client's connection after what was written, as the rest of the stream will not arrive. */
    void abort();

    /** Called when the last byte of the stream has been written to the connection. */
    void onStreamCompleted();
}
