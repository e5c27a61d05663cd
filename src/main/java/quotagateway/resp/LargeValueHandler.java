package quotagateway.resp;

import io.netty.buffer.ByteBuf;

/** Where a value goes that is too large to be gathered. */
public interface LargeValueHandler {
    /** Which element of an array may be large. */
    int argumentIndex();

    /** Whether it is taken: else it spoils the answer. */
    boolean onValueStarted(int length);

    /** The next part, which is the receiver's to release. */
    void onValueContent(ByteBuf part, boolean last);
}
