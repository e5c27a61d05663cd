package quotagateway.client;

import io.netty.handler.codec.redis.ArrayRedisMessage;
import quotagateway.lifecycle.CloseReason;
import quotagateway.log.NodeEvent;
import quotagateway.streaming.RequestBody;

/** Accepts the requests of client connections, and decides what the connections may do. Called on the event loop. */
public interface ClientRequestHandler {
    /**
     * Accepts a request, with its large body or null, and gives its response to the slot, now or later. Returns null if
     * the request was accepted, or else the error text for the client.
     *
     * @param receivedAtMs when the last bytes of the command arrived (ms of the loop's clock), which may be long ago if
     *     its connection was held back; for a large body, when the bytes that were read last arrived
     */
    String acceptCommand(ResponseSlot slot, ArrayRedisMessage command, RequestBody body, double receivedAtMs);

    /** Called when a request was refused unparsed, as its connection has too many unanswered ones. */
    void onRequestRefused();

    /** Returns whether memory is so short that reading from clients has to pause. */
    boolean isMemoryExhausted();

    /** Returns whether so many more bytes of a request that arrives in several reads may be held. */
    boolean hasRoomForRequest(int bytes);

    /** Returns whether the node may still start to listen. */
    boolean mayListen();

    /** Returns whether a connection with this number of open requests may be closed for this reason. */
    boolean mayClose(CloseReason reason, int openRequests);

    /** Called when a client's connection has ended, before its open requests are notified. */
    void onClientConnectionClosed(NodeEvent.ClientConnectionClosed closed);
}
