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

/**
 * One connection of a client: takes its commands, and writes the responses in the order of the commands. It ends when
 * the client closes it, when a command is malformed or a stream breaks off, when it is evicted, or with the node.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** With so many commands unanswered nothing more is read; reading goes on as responses are written. */
    private static final int MAX_PIPELINED_COMMANDS = 256;
    /** More arguments than any command has, so that a wrong command is answered as such. */
    private static final int MAX_ARGUMENTS = 16;

    private final DuplexChannel channel;
    private final long id;
    private final ListenerContext listener;
    private final EventLoopContext loop;
    private final ClientRequestHandler requests;
    private final ReadAhead readAhead;
    private final CommandTimer timer;
    private final LargeBodyReceiver largeBody;
    private final ResponseQueue responses;
    private final ClosingSequence closing;
    private RespFrameTracker frames;

    /**
     * A connection that was accepted.
     *
     * @param id its number in the event log
     * @param longestQueueWaitMs how long it may have waited in the accept queue, 0 for not at all
     */
    ClientConnection(DuplexChannel channel, long id, ListenerContext listener, double longestQueueWaitMs) {
        this.channel = channel;
        this.id = id;
        this.listener = listener;
        loop = listener.loop();
        requests = listener.requests();
        readAhead = new ReadAhead(loop, listener.readAheadBudget(), longestQueueWaitMs);
        timer = new CommandTimer(loop);
        largeBody = new LargeBodyReceiver(this, loop, requests, timer);
        responses = new ResponseQueue(this, channel, loop);
        closing = new ClosingSequence(channel);
    }

    /** Adds the connection's handlers to its channel; called once, before anything is read. */
    void addHandlers() {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(readAhead);
        frames = RespCodec.addHandlers(pipeline, MAX_ARGUMENTS, largeBody);
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
        if (!closing.isReading()) { // not taken: the client sends it once more elsewhere
            ReferenceCountUtil.release(msg);
            return;
        }
        frames.onMessageComplete((RedisMessage) msg);
        timer.stop();
        listener.connections().onCommand(this);
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

    private void handleCommand(ResponseSlot slot, ArrayRedisMessage command) {
        String verb = RespCodec.text(command.children().get(0));
        if (ClientCommand.isRequestVerb(verb)) {
            if (largeBody.isReceiving()) {
                largeBody.claim(slot, command);
            } else {
                submit(slot, command, null);
            }
        } else if ("PING".equalsIgnoreCase(verb)) {
            slot.respond(new SimpleStringRedisMessage("PONG"));
        } else {
            slot.respond(new ErrorRedisMessage("ERR unknown command"));
        }
    }

    /** Gives a request command to the handler, with its large body or null, and answers it where it is malformed. */
    void submit(ResponseSlot slot, ArrayRedisMessage command, RequestBody body) {
        String problem = requests.acceptCommand(slot, command, body, readAhead.receivedAtMs());
        if (problem != null) {
            slot.respond(new ErrorRedisMessage("ERR " + problem));
            if (body != null) {
                body.discard();
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (largeBody.isReceiving()) {
            timer.restart();
        } else if (frames.pendingBytes() != 0) {
            timer.startUnlessWaiting();
        } else if (!listener.connections().isAwaitingFirstCommand(this)) {
            timer.stop();
        }
        loop.flush();
    }

    // ---- reading on, and writing responses ----

    /** Holds commands back while too much is unanswered, unread by the client or buffered for all, or lets them on. */
    void updateReading() {
        boolean read = !closing.isReading() || hasCapacity();
        if (read && readAhead.isHeldBack()) {
            readAhead.resume();
            if (largeBody.isReceiving()) {
                timer.restart(); // it was the gateway that did not read on
            }
        } else if (!read && !readAhead.isHeldBack()) {
            readAhead.holdBack();
        }
    }

    private boolean hasCapacity() {
        return responses.size() < MAX_PIPELINED_COMMANDS
                && channel.isWritable()
                && (largeBody.isReceiving() ? largeBody.wantsMore() : !requests.isMemoryExhausted());
    }

    /** Writes what can be written by now; a connection that is to end behind its last response ends here. */
    void writeResponses() {
        responses.writeReady();
        if (responses.isEmpty() && endsWhenAnswered()) {
            finish(CloseReason.SHUTDOWN_ANSWERED);
        }
        if (readAhead.isHeldBack()) {
            updateReading();
        }
    }

    private boolean endsWhenAnswered() {
        return !closing.isReading() || (listener.connections().isClosingAfterResponses() && !isCommandBegun());
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

    // ---- what the connection is doing ----

    /** Whether commands are still taken. */
    boolean isReading() {
        return closing.isReading();
    }

    /** Whether something has come that is no whole command yet, or has not been looked at. */
    boolean isCommandBegun() {
        return frames.pendingBytes() != 0 || !readAhead.isEmpty();
    }

    /** Whether the connection is between requests: no response is owed, and nothing of a command has come. */
    boolean isIdle() {
        return responses.isEmpty() && !isCommandBegun() && closing.isReading();
    }

    /** Whether all that was written has gone to the system. */
    boolean isFlushed() {
        return closing.unsentBytes() == 0;
    }

    boolean hasOpenResponses() {
        return !responses.isEmpty();
    }

    /** Whether the connection was opened before a time (ms) of the loop's clock. */
    boolean isOpenSinceBefore(double timeMs) {
        return timer.isOpenSinceBefore(timeMs);
    }

    /** Whether it is the client that has left the gateway waiting for a whole command since before a time (ms). */
    boolean isCommandOverdue(double timeMs) {
        boolean clientsTurn = responses.isEmpty() || (largeBody.isReceiving() && largeBody.wantsMore());
        return closing.isReading() && clientsTurn && timer.isWaitingSinceBefore(timeMs);
    }

    // ---- the end ----

    /** Ends the connection in order, behind what is written; one that owes a response gives it first. */
    void finish(CloseReason reason) {
        if (closing.isOutputEnding()) {
            return;
        }
        if (!requests.mayClose(reason, responses.openRequestCount())) {
            rejectInput("internal error");
            return;
        }
        closing.beginOutputEnd(reason);
        updateReading();
        closing.endOutput();
    }

    /** Ends the connection as part of the node's shutdown, if it is between requests. */
    void finishIfIdle() {
        if (isIdle()) {
            finish(CloseReason.SHUTDOWN_IDLE);
        }
    }

    /** Ends the connection unless a request is open: a command that has begun is answered with an error. */
    void finishUnlessRequestOpen() {
        if (closing.isReading() && isCommandBegun() && responses.openRequestCount() == 0) {
            rejectInput("the edge node ends");
        } else {
            finishIfIdle();
        }
    }

    /** Closes the connection at once. */
    void closeNow(CloseReason reason) {
        closing.closeNow(reason);
    }

    /**
     * A streamed response cannot be whole. Only an end of the connection tells the client; earlier responses still go
     * out.
     */
    void abortStream() {
        closing.ignoreInput();
        abandonRequests();
        finish(CloseReason.VALUE_BROKEN_OFF);
    }

    /**
     * Answers with an error, and reads nothing any more: nobody can tell where the next command begins. Requests that
     * are open on the connection fail at once, so that the error doesn't come late behind them.
     */
    void rejectInput(String problem) {
        ResponseSlot unsubmitted = largeBody.waitingSlot();
        if (unsubmitted != null) {
            responses.remove(unsubmitted); // no request yet: the error is its response
        }
        largeBody.discard();
        if (closing.isReading()) {
            closing.giveReason(CloseReason.MALFORMED);
            closing.ignoreInput();
            readAhead.shutDown(); // megabytes that are only dropped would cost as much CPU as a request
            ResponseSlot error = responses.add();
            responses.failOpenRequests();
            error.respond(new ErrorRedisMessage("ERR " + problem));
        }
        loop.flush();
    }

    private void abandonRequests() {
        largeBody.discard();
        responses.abandon();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        listener.connections().remove(this);
        requests.onClientConnectionClosed(new NodeEvent.ClientConnectionClosed(
                id, closing.reason(), ageMs(), responses.commandCount(), responses.size()));
        abandonRequests();
        listener.onConnectionClosed().run();
        loop.flush();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof CodecException) {
            rejectInput("malformed");
        } else if (cause instanceof IOException) {
            closing.closeNow(CloseReason.ERROR);
        } else { // a fault of this program: what is open here is still owed a response
            loop.logFailure("client connection", cause);
            rejectInput("internal error");
        }
    }
}
