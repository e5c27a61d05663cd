package quotagateway.client;

import io.netty.handler.codec.redis.RedisMessage;
import quotagateway.streaming.ResponseSink;
import quotagateway.streaming.StreamedResponse;

/** The place of one command's answer on its connection. */
public final class ResponseSlot implements ResponseSink {
    private final ClientListener.ClientConnection connection;
    RedisMessage answer;
    StreamedResponse stream;
    private final int commandsBefore;
    public ClientRequest request;

    ResponseSlot(ClientListener.ClientConnection connection) {
        this.connection = connection;
        commandsBefore = connection.commands++;
    }

    /** Gives the one answer; it is written once those before it are. */
    @Override
    public void answer(RedisMessage message) {
        answer = message;
        stream = null;
        connection.drain();
    }

    /** The answer comes bit by bit, from its turn on. */
    public void stream(StreamedResponse value) {
        stream = value;
        connection.drain();
    }

    /** The rest of it does not come: an end of the connection is the only way to tell the client. */
    @Override
    public void brokenOff() {
        stream = null;
        connection.breakOff();
    }

    /** Its last bit is written. */
    @Override
    public void streamed() {
        connection.slots.remove(this);
        stream = null;
        connection.drain();
    }

    /** Names the connection in the event log. */
    public long connection() {
        return connection.number;
    }

    /** How old (ms) the connection is. */
    public double connectionAge() {
        return connection.age();
    }

    /** Whole commands that came on the connection before this one. */
    public int commandsBefore() {
        return commandsBefore;
    }

    /** No request waits here for its answer, nor does the rest of a value. */
    boolean isNoRequest() {
        return request == null && stream == null;
    }

    /** The client has gone, also where that has not been told yet: a round may bring many ends. */
    public boolean isClosed() {
        return !connection.channel.isActive();
    }
}
