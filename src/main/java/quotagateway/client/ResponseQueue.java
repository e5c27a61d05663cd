package quotagateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import quotagateway.transport.EventLoopContext;

/** The responses that a client connection owes, written in the order of its commands. */
final class ResponseQueue {
    private static final byte[] REFUSAL = "-BUSY\r\n".getBytes(StandardCharsets.US_ASCII);

    private final ClientConnection connection;
    private final Channel channel;
    private final EventLoopContext loop;
    private final ArrayDeque<ResponseSlot> slots = new ArrayDeque<>();
    private int commandCount;
    private int refusalCount;

    ResponseQueue(ClientConnection connection, Channel channel, EventLoopContext loop) {
        this.connection = connection;
        this.channel = channel;
        this.loop = loop;
    }

    /** Adds the slot of the command that has just arrived. */
    ResponseSlot add() {
        ResponseSlot slot = new ResponseSlot(connection, commandCount++);
        slots.add(slot);
        return slot;
    }

    /** Adds the refusal of a request; those in a row share a slot, as a client may send requests without end. */
    void addRefusal() {
        if (slots.isEmpty() || slots.peekLast().refusals() == 0) {
            slots.add(new ResponseSlot(connection, commandCount));
        }
        commandCount++;
        refusalCount++;
        slots.peekLast().addRefusal();
        writeReady();
    }

    /** Returns how many refusals have not been written yet. */
    int refusalCount() {
        return refusalCount;
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

    /** Returns the number of slots added since the connection opened. */
    int commandCount() {
        return commandCount;
    }

    /** Writes the complete responses at the head of the queue, and starts a streamed response that follows them. */
    void writeReady() {
        while (!slots.isEmpty()
                && (slots.peek().response() != null || slots.peek().refusals() > 0)) {
            ResponseSlot slot = slots.poll();
            channel.write(slot.refusals() > 0 ? encodeRefusals(slot) : slot.response(), channel.voidPromise());
            loop.flushLater(channel);
        }
        if (isStreamAtHead()) {
            slots.peek().stream().onTurn(channel);
        }
    }

    private ByteBuf encodeRefusals(ResponseSlot slot) {
        refusalCount -= slot.refusals();
        ByteBuf lines = channel.alloc().buffer(slot.refusals() * REFUSAL.length);
        for (int i = 0; i < slot.refusals(); i++) {
            lines.writeBytes(REFUSAL);
        }
        return lines;
    }

    /** Called when the channel's writability has changed: resumes or pauses the source of the stream being written. */
    void updateStreamReading() {
        if (isStreamAtHead()) {
            slots.peek().stream().updateReading();
        }
    }

    /** Returns whether a stream is being written, so that the responses behind it depend on its completion. */
    boolean isWritingStream() {
        return isStreamAtHead() && slots.peek().stream().isBegun();
    }

    private boolean isStreamAtHead() {
        return !slots.isEmpty() && slots.peek().stream() != null;
    }

    /** Returns the number of slots that wait for a request's response or for the rest of a stream. */
    int openRequestCount() {
        int open = 0;
        for (ResponseSlot slot : slots) {
            open += slot.isAwaitingResponse() ? 1 : 0;
        }
        return open;
    }

    /** Fails each open request immediately, as the input after it is malformed. */
    void failOpenRequests() {
        for (ResponseSlot slot : slots.toArray(new ResponseSlot[0])) {
            slot.notifyMalformed();
        }
    }

    /** Drops all responses, as the client can receive no further one. */
    void abandon() {
        while (!slots.isEmpty()) {
            slots.poll().abandon();
        }
    }
}
