package quotagateway.streaming;

import io.netty.buffer.ByteBuf;

/** The connection to an endpoint that a {@link RequestBody} is written to. */
public interface RequestBodySink {
    /** Takes ownership of the next part; returns false if no more should be written until the part has been sent. */
    boolean write(ByteBuf part, boolean last);
}
