package quotagateway.client;

import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import quotagateway.streaming.ResponseSink;
import quotagateway.streaming.StreamedResponse;

/**
 * The position of one command's response among the responses of its connection. It takes one response, complete or as
 * a stream, which is written after all responses before it.
 */
public final class ResponseSlot implements ResponseSink {
    private final ClientConnection connection;
    private final int commandsBefore;
    private ClientRequest request;
    private RedisMessage response;
    private StreamedResponse stream;
    /** Number of requests in a row that this slot refuses; 0 if it is the slot of a single command. */
    private int refusals;

    ResponseSlot(ClientConnection connection, int commandsBefore) {
        this.connection = connection;
        this.commandsBefore = commandsBefore;
    }

    /** Attaches the request that provides the response; until it is detached it is notified of the connection's end. */
    public void attachRequest(ClientRequest owner) {
        request = owner;
    }

    /** Detaches the request: it has its final response, or no response is needed any more. */
    public void detachRequest() {
        request = null;
    }

    /** Sets the response, replacing a stream of which nothing has been written. */
    @Override
    public void respond(RedisMessage message) {
        response = message;
        stream = null;
        connection.writeResponses();
    }

    /** Sets the response as a stream. */
    public void respondWith(StreamedResponse value) {
        stream = value;
        connection.writeResponses();
    }

    @Override
    public boolean hasCommandsBehind() {
        return connection.hasCommandsBehindFirst();
    }

    @Override
    public void onStreamBegun() {
        connection.updateReading();
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

    /** Returns the number of the connection in the event log. */
    public long connectionId() {
        return connection.id();
    }

    /** Returns how long (ms) the connection has been open. */
    public double connectionAgeMs() {
        return connection.ageMs();
    }

    /** Returns the number of complete commands that arrived on the connection before this one. */
    public int commandsBefore() {
        return commandsBefore;
    }

    /** Returns whether the connection is closed, even if no handler has been notified yet in this loop iteration. */
    public boolean isDisconnected() {
        return !connection.isActive();
    }

    /** Makes this the slot of one more refused request, none of which gets another response. */
    void addRefusal() {
        refusals++;
    }

    /** Returns how many requests in a row this slot refuses; 0 if it is the slot of a single command. */
    int refusals() {
        return refusals;
    }

    /** Returns the complete response, or null while there is none. */
    RedisMessage response() {
        return response;
    }

    /** Returns the streamed response, or null. */
    StreamedResponse stream() {
        return stream;
    }

    /** Returns whether the slot waits for a request or for the rest of a stream. */
    boolean isAwaitingResponse() {
        return request != null || stream != null;
    }

    /** Notifies the request, if there is one, that the input after it is malformed. */
    void notifyMalformed() {
        if (request != null) {
            request.onConnectionMalformed();
        }
    }

    /** Drops the response, and notifies the request and the stream that the client has disconnected. */
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
