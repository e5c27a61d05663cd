package quotagateway.client;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import quotagateway.transport.EventLoopContext;

/** The responses that a client's connection owes, written in the order of its commands. */
final class ResponseQueue {
    private final ClientConnection connection;
    private final Channel channel;
    private final EventLoopContext loop;
    private final ArrayDeque<ResponseSlot> slots = new ArrayDeque<>();
    private int commandCount;

    ResponseQueue(ClientConnection connection, Channel channel, EventLoopContext loop) {
        this.connection = connection;
        this.channel = channel;
        this.loop = loop;
    }

    /** Adds the slot of the command that has just come. */
    ResponseSlot add() {
        ResponseSlot slot = new ResponseSlot(connection, commandCount++);
        slots.add(slot);
        return slot;
    }

    void remove(ResponseSlot slot) {
        slots.remove(slot);
    }

    boolean isEmpty() {
        return slots.isEmpty();
    }

    int size() {
        return slots.size();
    }

    /** How many slots there have been. */
    int commandCount() {
        return commandCount;
    }

    /** Writes the whole responses at the head of the queue, and has a stream behind them start. */
    void writeReady() {
        while (!slots.isEmpty() && slots.peek().response() != null) {
            channel.write(slots.poll().response(), channel.voidPromise());
            loop.flushLater(channel);
        }
        if (isStreamAtHead()) {
            slots.peek().stream().startWriting(channel);
        }
    }

    /** The channel takes more, or has enough for now: a stream that is being written reads on, or stops. */
    void updateStreamReading() {
        if (isStreamAtHead()) {
            slots.peek().stream().updateReading();
        }
    }

    private boolean isStreamAtHead() {
        return !slots.isEmpty() && slots.peek().stream() != null;
    }

    /** How many slots wait for a request's response or for the rest of a stream. */
    int openRequestCount() {
        int open = 0;
        for (ResponseSlot slot : slots) {
            open += slot.isAwaitingResponse() ? 1 : 0;
        }
        return open;
    }

    /** Has each open request fail at once, as what came behind it cannot be read. */
    void failOpenRequests() {
        for (ResponseSlot slot : slots.toArray(new ResponseSlot[0])) {
            slot.notifyMalformed();
        }
    }

    /** Empties the queue: nobody waits for a response any more. */
    void abandon() {
        while (!slots.isEmpty()) {
            slots.poll().abandon();
        }
    }
}
