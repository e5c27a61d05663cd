package quotagateway.resp;

import io.netty.buffer.ByteBuf;

/** Receives a value that is too large to be buffered whole, as it comes. */
public interface LargeValueHandler {
    /** The index of the one element of an array that may be large. */
    int argumentIndex();

    /**
     * A large value begins.
     *
     * @param length the bytes that will follow
     * @return whether it is taken; one that is not is an error of the connection
     */
    boolean onValueStarted(int length);

    /**
     * The next part of the value.
     *
     * @param part the receiver releases it
     * @param last whether the value ends with it
     */
    void onValueContent(ByteBuf part, boolean last);
}
