package quotagateway.client;

import io.netty.handler.codec.redis.RedisMessage;
import quotagateway.streaming.ResponseSink;
import quotagateway.streaming.StreamedResponse;

/** The place of one command's answer on its connection. */
public final class ResponseSlot implements ResponseSink {
    private final ClientListener.ClientConnection connectionId;
    RedisMessage answer;
    StreamedResponse streamFrom;
    private final int commandsBefore;
    public ClientRequest request;

    ResponseSlot(ClientListener.ClientConnection connection) {
        this.connectionId = connection;
        commandsBefore = connection.commands++;
    }

    /** Gives the one answer; it is written once those before it are. */
    @Override
    public void respond(RedisMessage message) {
        answer = message;
        streamFrom = null;
        connectionId.drain();
    }

    /** The answer comes bit by bit, from its turn on. */
    public void streamFrom(StreamedResponse value) {
        streamFrom = value;
        connectionId.drain();
    }

    /** The rest of it does not come: an end of the connection is the only way to tell the client. */
    @Override
    public void abort() {
        streamFrom = null;
        connectionId.breakOff();
    }

    /** Its last bit is written. */
    @Override
    public void onStreamCompleted() {
        connectionId.slots.remove(this);
        streamFrom = null;
        connectionId.drain();
    }

    /** Names the connection in the event log. */
    public long connectionId() {
        return connectionId.number;
    }

    /** How old (ms) the connection is. */
    public double connectionAge() {
        return connectionId.age();
    }

    /** Whole commands that came on the connection before this one. */
    public int commandsBefore() {
        return commandsBefore;
    }

    /** No request waits here for its answer, nor does the rest of a value. */
    boolean isNoRequest() {
        return request == null && streamFrom == null;
    }

    /** The client has gone, also where that has not been told yet: a round may bring many ends. */
    public boolean isDisconnected() {
        return !connectionId.channel.isActive();
    }
}
