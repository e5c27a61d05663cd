package quotagateway.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import quotagateway.lifecycle.CloseReason;
import quotagateway.log.NodeEvent;
import quotagateway.resp.RespCodec;
import quotagateway.resp.RespFrameTracker;
import quotagateway.streaming.RequestBody;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.ReceivedBufferCompactor;

/**
 * One connection of a client: accepts commands, and writes the responses in the order of the commands. The connection
 * ends when the client closes it, when a command is malformed, when a streamed response breaks off, when the connection
 * is evicted, or when the node shuts down.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** More arguments than any command has, so that a command with too many of them still gets its own error. */
    private static final int MAX_ARGUMENTS = 16;

    private final DuplexChannel channel;
    private final long id;
    private final ListenerContext listenerContext;
    private final EventLoopContext loop;
    private final ClientRequestHandler requestHandler;
    private final ReadAhead readAhead;
    private final CommandTimer timer;
    private final LargeBodyReceiver largeBody;
    private final ResponseQueue responses;
    private final ClosingSequence closingSequence;
    private final OutputProgress outputProgress;
    private final FlowControl flowControl;
    private RespFrameTracker frameTracker;
    /** Whether a command was complete, so that a response may be in transit. */
    private boolean hadCommand;
    /** Commands that were left without a complete response. */
    private int unanswered;

    /**
     * Creates the handler of an accepted connection.
     *
     * @param id number of the connection in the event log
     * @param maxQueueWaitMs the longest time (ms) that the connection may have waited in the accept queue, 0 for none
     */
    ClientConnection(DuplexChannel channel, long id, ListenerContext listenerContext, double maxQueueWaitMs) {
        this.channel = channel;
        this.id = id;
        this.listenerContext = listenerContext;
        loop = listenerContext.loop();
        requestHandler = listenerContext.requestHandler();
        readAhead = new ReadAhead(loop, listenerContext.readAheadBudget(), maxQueueWaitMs, this::updateReading);
        timer = new CommandTimer(loop);
        largeBody = new LargeBodyReceiver(this, requestHandler, timer, readAhead);
        responses = new ResponseQueue(this, channel, loop);
        closingSequence = new ClosingSequence(channel);
        outputProgress = new OutputProgress(loop);
        flowControl = new FlowControl(channel, readAhead, largeBody, responses, closingSequence, timer, requestHandler);
    }

    /** Adds the connection's handlers to its channel; called once, before anything is read. */
    void addHandlers() {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(ReceivedBufferCompactor.INSTANCE, readAhead);
        frameTracker = RespCodec.addHandlers(pipeline, MAX_ARGUMENTS, requestHandler::hasRoomForRequest, largeBody);
        pipeline.addLast(this);
    }

    long id() {
        return id;
    }

    double ageMs() {
        return timer.ageMs();
    }

    boolean isActive() {
        return channel.isActive();
    }

    // ---- commands ----

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (!closingSequence.isReading()) { // dropped: the client resends the command to another gateway
            ReferenceCountUtil.release(msg);
            return;
        }
        frameTracker.onMessageComplete((RedisMessage) msg);
        timer.stop();
        hadCommand = true;
        listenerContext.connections().onCommand(this);
        if (flowControl.isRefusing() && isRequest(msg)) {
            responses.addRefusal();
            requestHandler.onRequestRefused();
            ReferenceCountUtil.release(msg);
            updateReading();
            return;
        }
        ResponseSlot slot = responses.add();
        try {
            if (msg instanceof ArrayRedisMessage command
                    && command != ArrayRedisMessage.NULL_INSTANCE
                    && !command.children().isEmpty()) {
                handleCommand(slot, command);
            } else {
                slot.respond(new ErrorRedisMessage("ERR a command expected"));
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
        updateReading();
    }

    private static boolean isRequest(Object msg) {
        return msg instanceof ArrayRedisMessage command
                && command != ArrayRedisMessage.NULL_INSTANCE
                && !command.children().isEmpty()
                && ClientCommand.isRequestVerb(RespCodec.text(command.children().get(0)));
    }

    private void handleCommand(ResponseSlot slot, ArrayRedisMessage command) {
        String verb = RespCodec.text(command.children().get(0));
        if (ClientCommand.isRequestVerb(verb)) {
            if (largeBody.isReceiving()) {
                largeBody.attachCommand(slot, command);
            } else {
                submit(slot, command, null);
            }
        } else if ("PING".equalsIgnoreCase(verb)) {
            slot.respond(new SimpleStringRedisMessage("PONG"));
        } else {
            slot.respond(new ErrorRedisMessage("ERR unknown command"));
        }
    }

    /** Passes a request command, with its large body or null, to the handler; answers a malformed one with an error. */
    void submit(ResponseSlot slot, ArrayRedisMessage command, RequestBody body) {
        String errorText = requestHandler.acceptCommand(slot, command, body, readAhead.receivedAtMs());
        if (errorText != null) {
            slot.respond(new ErrorRedisMessage("ERR " + errorText));
            if (body != null) {
                body.discard();
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (largeBody.isReceiving()) {
            timer.restart();
        } else if (frameTracker.pendingBytes() != 0) {
            timer.startUnlessWaiting();
        } else if (!listenerContext.connections().isAwaitingFirstCommand(this)) {
            timer.stop();
        }
        loop.flush();
    }

    // ---- flow control and responses ----

    /** Holds commands back or resumes, see {@link FlowControl}. */
    void updateReading() {
        flowControl.update();
    }

    /** Writes the responses that are ready, and closes a connection that is to end after its last response. */
    void writeResponses() {
        responses.writeReady();
        if (responses.isEmpty() && shouldCloseAfterResponses()) {
            closeGracefully(CloseReason.SHUTDOWN_ANSWERED);
        }
        if (readAhead.isHeldBack()) {
            updateReading();
        }
    }

    private boolean shouldCloseAfterResponses() {
        return !closingSequence.isReading()
                || (listenerContext.connections().isClosingAfterResponses() && !hasUnprocessedInput());
    }

    /** The last byte of a streamed response has been written. */
    void onStreamCompleted(ResponseSlot slot) {
        responses.remove(slot);
        writeResponses();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        updateReading();
        responses.updateStreamReading();
    }

    // ---- state ----

    /** Returns whether commands are still accepted. */
    boolean isReading() {
        return closingSequence.isReading();
    }

    /** Returns whether there is part of a command, or input that has not been decoded yet. */
    boolean hasUnprocessedInput() {
        return frameTracker.pendingBytes() != 0 || !readAhead.isEmpty();
    }

    /** Returns whether anything has arrived behind the command whose response is the next one to be written. */
    boolean hasCommandsBehindFirst() {
        return responses.size() > 1 || hasUnprocessedInput();
    }

    /** Returns whether the connection is between requests: no response is owed, and no input is unprocessed. */
    boolean isIdle() {
        return responses.isEmpty() && !hasUnprocessedInput() && closingSequence.isReading();
    }

    /** Returns whether everything written has been handed to the operating system. */
    boolean isFlushed() {
        return closingSequence.unsentBytes() == 0;
    }

    /** Notes how much output the system has not taken over yet; called periodically. */
    void sampleOutput() {
        outputProgress.sample(channel.unsafe().outboundBuffer());
    }

    /** Returns how long (ms) the system has taken over none of the unsent output; 0 if there is none. */
    double outputBlockedMs() {
        return outputProgress.blockedMs();
    }

    boolean hasOpenResponses() {
        return !responses.isEmpty();
    }

    /** Returns whether the connection was opened before a time (ms of the loop's clock). */
    boolean wasOpenedBefore(double timeMs) {
        return timer.wasOpenedBefore(timeMs);
    }

    /** Returns whether the gateway has waited for the client to complete a command since before a time (ms). */
    boolean isCommandOverdue(double timeMs) {
        boolean awaitingClient = responses.isEmpty() || (largeBody.isReceiving() && largeBody.wantsMore());
        return closingSequence.isReading() && awaitingClient && timer.isWaitingSinceBefore(timeMs);
    }

    // ---- closing ----

    /**
     * Closes the connection after everything that was written. If the lifecycle check refuses the close because of open
     * requests, the connection fails them and sends an error first.
     */
    void closeGracefully(CloseReason reason) {
        if (closingSequence.isOutputShuttingDown()) {
            return;
        }
        if (!requestHandler.mayClose(reason, responses.openRequestCount())) {
            rejectInput("internal error");
            return;
        }
        closingSequence.startOutputShutdown(reason);
        readAhead.discardInput();
        closingSequence.shutDownOutputAfterWrites(hadCommand);
    }

    /** Returns whether the connection only waits for its client to close its side. */
    boolean isAwaitingClose() {
        return closingSequence.isAwaitingClient();
    }

    /** Closes the connection for the node's shutdown, if it is between requests. */
    void closeIfIdle() {
        if (isIdle()) {
            closeGracefully(CloseReason.SHUTDOWN_IDLE);
        }
    }

    /** Closes the connection unless a request is open; a partly received command is answered with an error. */
    void closeUnlessRequestOpen() {
        if (closingSequence.isReading() && hasUnprocessedInput() && responses.openRequestCount() == 0) {
            rejectInput("the edge node ends");
        } else {
            closeIfIdle();
        }
    }

    /** Closes the connection immediately. */
    void closeNow(CloseReason reason) {
        closingSequence.closeNow(reason);
    }

    /**
     * Closes the connection because a streamed response cannot be completed: only the close can tell the client.
     * Earlier responses are still sent.
     */
    void abortStream() {
        closingSequence.ignoreInput();
        abandonRequests();
        closeGracefully(CloseReason.VALUE_BROKEN_OFF);
    }

    /**
     * Answers with an error and stops reading, as the start of the next command is unknown. Requests that are open on
     * the connection fail immediately, so that they don't delay the error, which is written after their responses.
     */
    void rejectInput(String errorText) {
        ResponseSlot unsubmitted = largeBody.pendingSlot();
        if (unsubmitted != null) {
            responses.remove(unsubmitted); // not submitted yet: the error is its response
        }
        largeBody.discard();
        if (closingSequence.isReading()) {
            closingSequence.setReasonIfAbsent(CloseReason.MALFORMED);
            closingSequence.ignoreInput();
            if (hadCommand) {
                readAhead.discardInput();
            } else {
                readAhead.shutDown(); // reading megabytes only to drop them costs as much CPU as a request
            }
            ResponseSlot error = responses.add();
            responses.failOpenRequests();
            error.respond(new ErrorRedisMessage("ERR " + errorText));
        }
        loop.flush();
    }

    private void abandonRequests() {
        largeBody.discard();
        unanswered += responses.size();
        responses.abandon();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        listenerContext.connections().remove(this);
        requestHandler.onClientConnectionClosed(new NodeEvent.ClientConnectionClosed(
                id,
                closingSequence.reason(),
                closingSequence.isClosedByNode(),
                ageMs(),
                responses.commandCount(),
                unanswered + responses.size()));
        abandonRequests();
        listenerContext.onConnectionClosed().run();
        loop.flush();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof CodecException) {
            rejectInput("malformed");
        } else if (cause instanceof IOException) {
            closingSequence.closeNow(CloseReason.ERROR);
        } else { // internal fault: open requests are still owed a response
            loop.logFailure("client connection", cause);
            rejectInput("internal error");
        }
    }
}
