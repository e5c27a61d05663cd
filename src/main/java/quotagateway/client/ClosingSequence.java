package quotagateway.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;
import quotagateway.lifecycle.CloseReason;

/**
 * Closes a client's connection without losing what was written on it, in this order: input is dropped, what is owed is
 * written, the output is shut down, and the socket is closed when the client has closed its side. A close with unread
 * input, or followed by more input, sends a reset, and what the client has not received by then is lost: the system may
 * hold megabytes of it, and tells nobody when the client has them.
 *
 * <p>So no time ends the wait for the client, with one exception: a connection on which no command was complete gets a
 * moment for its error line. Otherwise the connection gives way when others need its descriptor ({@link
 * ConnectionTable}), and at the end of the process.
 */
final class ClosingSequence {
    /** Time (ms) that a client whose connection had no complete command has to close its side. */
    private static final int NO_COMMAND_LINGER_MS = 200;

    /** The states in their order; no state is entered twice. */
    private enum State {
        /** Commands are accepted. */
        READING,
        /** Input is dropped; responses to commands accepted before may still be owed. */
        INPUT_IGNORED,
        /** No further response is written, and the output is shut down after the last one. */
        OUTPUT_SHUTTING_DOWN
    }

    private final DuplexChannel channel;
    private State state = State.READING;
    private CloseReason reason = CloseReason.CLOSED_BY_PEER;
    private boolean outputShutDown;
    private boolean closedByNode;

    ClosingSequence(DuplexChannel channel) {
        this.channel = channel;
    }

    boolean isReading() {
        return state == State.READING;
    }

    boolean isOutputShuttingDown() {
        return state == State.OUTPUT_SHUTTING_DOWN;
    }

    /** Returns why the connection has ended or is about to end. */
    CloseReason reason() {
        return reason;
    }

    /** Sets the reason for the close, unless one has been set before. */
    void setReasonIfAbsent(CloseReason cause) {
        if (reason == CloseReason.CLOSED_BY_PEER) {
            reason = cause;
        }
    }

    void ignoreInput() {
        if (state == State.READING) {
            state = State.INPUT_IGNORED;
        }
    }

    /** Enters the last state; the caller then calls {@link #shutDownOutputAfterWrites}. */
    void startOutputShutdown(CloseReason cause) {
        setReasonIfAbsent(cause);
        state = State.OUTPUT_SHUTTING_DOWN;
    }

    /**
     * Shuts down the output once everything written has been handed to the system. The completion of an empty write
     * marks that point, as an immediate shutdown would drop output that a slow client has not read yet.
     *
     * @param hadCommand whether the connection had a complete command, so that responses may be in transit
     */
    void shutDownOutputAfterWrites(boolean hadCommand) {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
            channel.shutdownOutput();
            outputShutDown = true;
            if (!hadCommand) {
                channel.eventLoop()
                        .schedule(() -> closeNow(CloseReason.LINGER_OVER), NO_COMMAND_LINGER_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Returns whether the output has been shut down and the client has not closed its side yet. */
    boolean isAwaitingClient() {
        return outputShutDown;
    }

    /** Returns whether this node has closed the socket, rather than the client. */
    boolean isClosedByNode() {
        return closedByNode;
    }

    void closeNow(CloseReason cause) {
        setReasonIfAbsent(cause);
        closedByNode = true;
        channel.close();
    }

    /** Returns how many written bytes the operating system has not accepted yet, as the client reads slowly. */
    long unsentBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }
}
