package quotagateway.client;

import io.netty.channel.Channel;

/**
 * Decides whether the commands of a connection are accepted, held back or refused.
 *
 * <p>They are held back while too many are unanswered, the client has too much output to read, a streamed response is
 * being written, or the buffers of all requests are full. Behind a stream that breaks off no response can follow, so
 * none is accepted whose response would have to.
 *
 * <p>The end of a connection is seen only behind its input, and no attempt may begin after it. When no more input can
 * be kept behind too many unanswered commands, requests are refused instead of leaving the rest unread.
 */
final class FlowControl {
    /** Unanswered commands at which commands are held back; they are resumed as responses are written. */
    private static final int MAX_PIPELINED_COMMANDS = 256;
    /** Refused requests whose responses may be owed at a time. */
    private static final int MAX_REFUSALS = 16_384;

    private final Channel channel;
    private final ReadAhead readAhead;
    private final LargeBodyReceiver largeBody;
    private final ResponseQueue responses;
    private final ClosingSequence closingSequence;
    private final CommandTimer timer;
    private final ClientRequestHandler requestHandler;
    private boolean refusing;

    FlowControl(
            Channel channel,
            ReadAhead readAhead,
            LargeBodyReceiver largeBody,
            ResponseQueue responses,
            ClosingSequence closingSequence,
            CommandTimer timer,
            ClientRequestHandler requestHandler) {
        this.channel = channel;
        this.readAhead = readAhead;
        this.largeBody = largeBody;
        this.responses = responses;
        this.closingSequence = closingSequence;
        this.timer = timer;
        this.requestHandler = requestHandler;
    }

    /** Returns whether the requests that are forwarded now are to be refused. */
    boolean isRefusing() {
        return refusing;
    }

    /** Holds commands back, or resumes; called whenever something has changed that this depends on. */
    void update() {
        if (!closingSequence.isReading() || mayAccept()) {
            refusing = false;
            resume();
        } else if (readAhead.isFull() && mayRefuse()) {
            refusing = true;
            resume();
        } else if (!readAhead.isHeldBack()) {
            readAhead.holdBack();
        }
    }

    private void resume() {
        if (readAhead.isHeldBack()) {
            readAhead.resume();
            if (largeBody.isReceiving()) {
                timer.restart(); // the delay was the gateway's, which had paused reading
            }
        }
    }

    private boolean mayAccept() {
        boolean mayForward = largeBody.isReceiving() ? largeBody.wantsMore() : mayForwardCommands();
        return responses.size() < MAX_PIPELINED_COMMANDS && channel.isWritable() && mayForward;
    }

    private boolean mayRefuse() {
        return responses.size() < 2 * MAX_PIPELINED_COMMANDS
                && responses.refusalCount() < MAX_REFUSALS
                && channel.isWritable()
                && !largeBody.isReceiving()
                && mayForwardCommands();
    }

    private boolean mayForwardCommands() {
        return !requestHandler.isMemoryExhausted() && !responses.isWritingStream();
    }
}
