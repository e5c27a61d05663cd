package quotagateway.client;

import io.netty.handler.codec.redis.ArrayRedisMessage;
import quotagateway.lifecycle.CloseReason;
import quotagateway.log.NodeEvent;
import quotagateway.streaming.RequestBody;

/** Takes the requests of clients' connections, and says what the connections may do. Called on the event loop. */
public interface ClientRequestHandler {
    /**
     * Takes a request over, with its large body or null; its response is given to the slot, now or later. Returns
     * what is wrong with the command, for the client to read, or null where it was taken.
     *
     * @param receivedAtMs when the last bytes of the command came (ms of the loop's clock), which may be long ago where
     *     its connection had to wait; of one with a large body, when those came that were read last
     */
    String acceptCommand(ResponseSlot slot, ArrayRedisMessage command, RequestBody body, double receivedAtMs);

    /** Whether so much is buffered for all requests that clients should be read no further. */
    boolean isMemoryExhausted();

    /** Whether the node may still begin to listen. */
    boolean mayListen();

    /** Whether a connection with so many open requests may be ended for this reason. */
    boolean mayClose(CloseReason reason, int openRequests);

    /** A client's connection has ended; its open requests are told next. */
    void onClientConnectionClosed(NodeEvent.ClientConnectionClosed closed);
}
