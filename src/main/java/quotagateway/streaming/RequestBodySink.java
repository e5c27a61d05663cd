package quotagateway.streaming;

import io.netty.buffer.ByteBuf;

/** The connection to an endpoint that a {@link RequestBody} is written to. */
public interface RequestBodySink {
    /** Takes over the next part; false where no more should come until it has been sent. */
    boolean write(ByteBuf part, boolean last);
}
