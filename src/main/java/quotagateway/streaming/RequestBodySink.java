package quotagateway.streaming;

import io.netty.buffer.ByteBuf;

/** The app server's end. */
public interface RequestBodySink {
    /** Takes the part over; false where no more should come for now. */
    boolean write(ByteBuf part, boolean last);
}
