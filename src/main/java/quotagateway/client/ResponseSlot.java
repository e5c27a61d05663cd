package quotagateway.client;

import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import quotagateway.streaming.ResponseSink;
import quotagateway.streaming.StreamedResponse;

/**
 * The place of one command's response among those of its connection. It is given one response, whole or as a stream,
 * which is written once all responses before it are.
 */
public final class ResponseSlot implements ResponseSink {
    private final ClientConnection connection;
    private final int commandsBefore;
    private ClientRequest request;
    private RedisMessage response;
    private StreamedResponse stream;

    ResponseSlot(ClientConnection connection, int commandsBefore) {
        this.connection = connection;
        this.commandsBefore = commandsBefore;
    }

    /** Attaches the request that is to give the response: it hears of the connection's end until it is detached. */
    public void attachRequest(ClientRequest owner) {
        request = owner;
    }

    /** The request has its final response, or nobody waits for one. */
    public void detachRequest() {
        request = null;
    }

    /** Gives the response, in place of a stream of which nothing has been written. */
    @Override
    public void respond(RedisMessage message) {
        response = message;
        stream = null;
        connection.writeResponses();
    }

    /** Gives the response as a stream. */
    public void respondWith(StreamedResponse value) {
        stream = value;
        connection.writeResponses();
    }

    @Override
    public void abort() {
        stream = null;
        connection.abortStream();
    }

    @Override
    public void onStreamCompleted() {
        stream = null;
        connection.onStreamCompleted(this);
    }

    /** The number of the connection in the event log. */
    public long connectionId() {
        return connection.id();
    }

    /** How long (ms) the connection has been open. */
    public double connectionAge() {
        return connection.ageMs();
    }

    /** How many whole commands came on the connection before this one. */
    public int commandsBefore() {
        return commandsBefore;
    }

    /** Whether the client is known to have closed, also where no handler has heard of it yet in this round. */
    public boolean isDisconnected() {
        return !connection.isActive();
    }

    /** The whole response, or null while there is none. */
    RedisMessage response() {
        return response;
    }

    /** The response that comes as a stream, or null. */
    StreamedResponse stream() {
        return stream;
    }

    /** Whether a request, or the rest of a stream, is waited for. */
    boolean isAwaitingResponse() {
        return request != null || stream != null;
    }

    /** Tells the request, if there is one, that what came behind it cannot be read. */
    void notifyMalformed() {
        if (request != null) {
            request.onConnectionMalformed();
        }
    }

    /** Drops the response, and tells the request and the stream that nobody waits for them. */
    void abandon() {
        ReferenceCountUtil.release(response);
        if (request != null) {
            request.onClientDisconnected();
        }
        if (stream != null) {
            stream.onClientDisconnected();
        }
    }
}
