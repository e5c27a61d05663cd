package quotagateway.client;

import io.netty.handler.codec.redis.ArrayRedisMessage;
import quotagateway.lifecycle.CloseReason;
import quotagateway.log.NodeEvent;
import quotagateway.streaming.RequestBody;

/** Whom the clients' connections give their commands to, and ask what they may do. Called on the event loop. */
public interface ClientRequestHandler {
    /**
     * Takes a request over, with the large value that comes with it, or null for none. Its response is given to the
     * slot. Returns what is wrong with the command, for the client to read, or null where it was taken.
     */
    String acceptCommand(ResponseSlot slot, ArrayRedisMessage command, RequestBody body);

    /** Whether so much is buffered for all requests that clients should be read no further. */
    boolean isMemoryExhausted();

    /** Whether the node may still begin to listen. */
    boolean mayListen();

    /** Whether a connection with so many open requests may be closed for this reason. */
    boolean mayClose(CloseReason reason, int openRequests);

    /** A client's connection has ended. */
    void onClientConnectionClosed(NodeEvent.ClientConnectionClosed closed);
}
