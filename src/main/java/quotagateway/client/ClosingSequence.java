package quotagateway.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;
import quotagateway.lifecycle.CloseReason;

/**
 * Closes a client's connection without losing what was written on it: input is ignored, the output is shut down after
 * the last response, and the socket is closed once the client has closed its side or the linger time is over. A close
 * with unread input would send a reset, which can make the client lose a response that is still in transit.
 */
final class ClosingSequence {
    /** Time (ms) that a client has to close its side after the gateway has shut down its output. */
    private static final int LINGER_MS = 200;
    /** Time (ms) without progress in sending the remaining output after which the connection is closed. */
    private static final int UNREAD_TIMEOUT_MS = 2000;

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

    /** Enters the last state; the caller then calls {@link #shutDownOutputAfterWrites()}. */
    void startOutputShutdown(CloseReason cause) {
        setReasonIfAbsent(cause);
        state = State.OUTPUT_SHUTTING_DOWN;
    }

    /**
     * Shuts down the output once everything written has been sent. The completion of an empty write marks that point,
     * as an immediate shutdown would drop output that a slow client has not read yet.
     */
    void shutDownOutputAfterWrites() {
        closeIfStalled(Long.MAX_VALUE);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
            channel.shutdownOutput();
            channel.eventLoop().schedule(() -> closeNow(CloseReason.LINGER_OVER), LINGER_MS, TimeUnit.MILLISECONDS);
        });
    }

    /**
     * Closes the connection if the number of unsent bytes has not fallen since the previous check, which found {@code
     * previousUnsent}; otherwise checks again after {@link #UNREAD_TIMEOUT_MS}, unless the connection has ended.
     */
    private void closeIfStalled(long previousUnsent) {
        long unsent = unsentBytes();
        if (unsent >= previousUnsent) {
            closeNow(CloseReason.UNREAD);
        } else if (channel.isActive()) {
            channel.eventLoop().schedule(() -> closeIfStalled(unsent), UNREAD_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    void closeNow(CloseReason cause) {
        setReasonIfAbsent(cause);
        channel.close();
    }

    /** Returns how many written bytes the operating system has not accepted yet, as the client reads slowly. */
    long unsentBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }
}
