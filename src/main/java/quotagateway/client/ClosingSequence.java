package quotagateway.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;
import quotagateway.lifecycle.CloseReason;

/**
 * How the gateway ends a client's connection without losing what is written on it: input is ignored, the output is
 * shut down behind the last response, and the socket is closed once the client has closed its side, or has had the
 * time to. A close with input unread would send a reset, which may overtake a response on its way.
 */
final class ClosingSequence {
    /** How long (ms) a client has to close its side after the gateway's has ended. */
    private static final int LINGER_MS = 200;
    /** A client that takes nothing of what is written to it for so long (ms) after the end is cut off. */
    private static final int UNREAD_TIMEOUT_MS = 2000;

    /** The states in their order; none is entered twice. */
    private enum State {
        /** Commands are taken. */
        READING,
        /** What still comes is dropped; responses to commands taken before may be owed. */
        INPUT_IGNORED,
        /** No further response is written, and the output ends behind the last one. */
        OUTPUT_ENDING
    }

    private final DuplexChannel channel;
    private State state = State.READING;
    private CloseReason reason = CloseReason.CLOSED_BY_PEER;

    ClosingSequence(DuplexChannel channel) {
        this.channel = channel;
    }

    boolean isReading() {
        return state == State.READING;
    }

    boolean isOutputEnding() {
        return state == State.OUTPUT_ENDING;
    }

    /** Why the connection has ended or is about to. */
    CloseReason reason() {
        return reason;
    }

    /** Gives the reason for the end; the first one counts. */
    void giveReason(CloseReason cause) {
        if (reason == CloseReason.CLOSED_BY_PEER) {
            reason = cause;
        }
    }

    void ignoreInput() {
        if (state == State.READING) {
            state = State.INPUT_IGNORED;
        }
    }

    /** Enters the last state; {@link #endOutput()} follows. */
    void beginOutputEnd(CloseReason cause) {
        giveReason(cause);
        state = State.OUTPUT_ENDING;
    }

    /**
     * Shuts the output down behind all that is written. An empty write marks that place: to shut it down at once
     * would drop what a slow client has still to read.
     */
    void endOutput() {
        closeUnlessRead(Long.MAX_VALUE);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
            channel.shutdownOutput();
            channel.eventLoop().schedule(() -> closeNow(CloseReason.LINGER_OVER), LINGER_MS, TimeUnit.MILLISECONDS);
        });
    }

    /** Closes the connection if the client has taken nothing since so many bytes were unsent; else looks again. */
    private void closeUnlessRead(long unsentBefore) {
        long unsent = unsentBytes();
        if (unsent >= unsentBefore) {
            closeNow(CloseReason.UNREAD);
        } else if (channel.isActive()) {
            channel.eventLoop().schedule(() -> closeUnlessRead(unsent), UNREAD_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    void closeNow(CloseReason cause) {
        giveReason(cause);
        channel.close();
    }

    /** Bytes written and not taken over by the system, as the client reads slowly. */
    long unsentBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }
}
