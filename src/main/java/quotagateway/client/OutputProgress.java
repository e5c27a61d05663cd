package quotagateway.client;

import io.netty.channel.ChannelOutboundBuffer;
import quotagateway.transport.EventLoopContext;

/**
 * Observes whether the system takes over what is written to a client's connection. That is all that can be seen of a
 * client: it may read for long out of the system's buffers before the system takes more.
 */
final class OutputProgress {
    /** What tells one state of the unsent output from a later one, as new output may follow what was taken over. */
    private record State(int oldestMessageHash, long oldestMessageProgress, long unsentBytes) {
        static State of(ChannelOutboundBuffer output) {
            return new State(
                    System.identityHashCode(output.current()),
                    output.currentProgress(),
                    output.totalPendingWriteBytes());
        }
    }

    private final EventLoopContext loop;
    /** Null if there was no unsent output at the last look. */
    private State state;

    private double lastProgressMs;

    OutputProgress(EventLoopContext loop) {
        this.loop = loop;
        lastProgressMs = loop.now();
    }

    /** Looks at the unsent output, null for that of a closed connection; called periodically. */
    void sample(ChannelOutboundBuffer output) {
        State current = output == null || output.totalPendingWriteBytes() == 0 ? null : State.of(output);
        if (current == null || !current.equals(state)) {
            lastProgressMs = loop.now();
        }
        state = current;
    }

    /** Returns how long (ms) the system has taken over nothing, though there is unsent output; 0 if there is none. */
    double blockedMs() {
        return state == null ? 0 : loop.now() - lastProgressMs;
    }
}
