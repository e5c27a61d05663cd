package quotagateway.streaming;

import io.netty.handler.codec.redis.RedisMessage;

/** The position of a {@link StreamedResponse} among the responses that a client's connection owes. */
public interface ResponseSink {
    /** Replaces the stream, of which nothing has been written, by a complete response. */
    void respond(RedisMessage message);

    /** Returns whether something has arrived on the connection behind the command of this response. */
    boolean hasCommandsBehind();

    /** Called when the first byte of the stream is written: from now on it can only be completed or aborted. */
    void onStreamBegun();

    /** Closes the client's connection after what was written, as the rest of the stream will not arrive. */
    void abort();

    /** Called when the last byte of the stream has been written to the connection. */
    void onStreamCompleted();
}
