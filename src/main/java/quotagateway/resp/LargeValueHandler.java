package quotagateway.resp;

import io.netty.buffer.ByteBuf;

/** Receives a value that is too large to be buffered completely, part by part as it arrives. */
public interface LargeValueHandler {
    /** Returns the index of the only array element that may be large. */
    int argumentIndex();

    /**
     * Called when a large value begins.
     *
     * @param length the length of the value in bytes
     * @return whether the value is accepted; a value that is not accepted is an error of the connection
     */
    boolean onValueStarted(int length);

    /**
     * Called with the next part of the value.
     *
     * @param part the bytes, which this handler releases
     * @param last whether the value ends with this part
     */
    void onValueContent(ByteBuf part, boolean last);
}
