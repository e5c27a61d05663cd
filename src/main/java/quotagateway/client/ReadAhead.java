package quotagateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.SocketAge;
import quotagateway.transport.Transport;

/**
 * First handler on a client's connection: buffers what is read while the connection's commands are held back. A
 * connection's end is seen only behind all bytes that came before it, so it is read on, up to a bound of its own and
 * one of all connections.
 *
 * <p>What was read is passed on in a later round of the event loop than the one it was read in: by then an end that
 * came right behind it is known, and nothing of it is taken any more.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {
    /** What was read at once, and when that had come (ms of the loop's clock). */
    private record Piece(ByteBuf buffer, double receivedAtMs) {}

    private final EventLoopContext loop;
    private final ReadAheadBudget budget;
    private final int maxBytes = Transport.readAheadBytes();
    private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    private final double openedAtMs;
    /** How long (ms) the first bytes may have been unread in the accept queue; 0 once they are read. */
    private double longestQueueWaitMs;
    /** When the bytes that were passed on last had come. */
    private double receivedAtMs;

    private ChannelHandlerContext context;
    private int bufferedBytes;
    private boolean heldBack;
    private boolean shutDown;
    private boolean passScheduled;

    /** The last is how long (ms) the connection may have waited before it was accepted. */
    ReadAhead(EventLoopContext loop, ReadAheadBudget budget, double longestQueueWaitMs) {
        this.loop = loop;
        this.budget = budget;
        this.longestQueueWaitMs = longestQueueWaitMs;
        openedAtMs = loop.now();
        receivedAtMs = openedAtMs;
    }

    /** When the bytes that were passed on last had come (ms of the loop's clock): long ago if they were held back. */
    double receivedAtMs() {
        return receivedAtMs;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    boolean isHeldBack() {
        return heldBack;
    }

    /** Whether all that was read has been passed on. */
    boolean isEmpty() {
        return pieces.isEmpty();
    }

    /** Passes nothing on until {@link #resume()}. */
    void holdBack() {
        heldBack = true;
        if (!shutDown) {
            updateAutoRead();
        }
    }

    /** Passes on what was buffered, in a later round of the loop, and what is read from now on. */
    void resume() {
        heldBack = false;
        if (!shutDown) {
            schedulePass();
            updateAutoRead();
        }
    }

    /** Drops what is buffered, and reads nothing any more. */
    void shutDown() {
        shutDown = true;
        pieces.forEach(piece -> piece.buffer().release());
        pieces.clear();
        addBuffered(-bufferedBytes);
        updateAutoRead();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (shutDown) {
            ReferenceCountUtil.release(msg);
            return;
        }
        ByteBuf buffer = (ByteBuf) msg;
        pieces.add(new Piece(buffer, loop.now() - unreadForMs()));
        addBuffered(buffer.capacity()); // not its readable bytes: one byte of a slow client may hold a large buffer
        updateAutoRead();
    }

    /**
     * How long the bytes that are read now had been there. The kernel is asked where the connection has waited to be
     * accepted; it may count by another clock, so no more is believed than the loop's allows.
     */
    private double unreadForMs() {
        if (longestQueueWaitMs <= 0) {
            return 0;
        }
        double longestMs = longestQueueWaitMs + loop.now() - openedAtMs;
        longestQueueWaitMs = 0;
        return Math.min(longestMs, SocketAge.sinceLastBytesMs(context.channel()));
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        schedulePass();
    }

    private void schedulePass() {
        if (!heldBack && !passScheduled && !pieces.isEmpty()) {
            passScheduled = true;
            context.executor().execute(this::pass);
        }
    }

    private void pass() {
        passScheduled = false;
        if (!context.channel().isActive()) {
            return; // closed in the round before, by either side: channelInactive comes next
        }
        boolean passed = false;
        while (!heldBack && !pieces.isEmpty()) { // what is passed may lead to holdBack or shutDown
            Piece piece = pieces.poll();
            addBuffered(-piece.buffer().capacity());
            passed = true;
            receivedAtMs = piece.receivedAtMs();
            context.fireChannelRead(piece.buffer());
        }
        if (passed) {
            context.fireChannelReadComplete();
        }
        updateAutoRead();
    }

    private void addBuffered(int bytes) {
        bufferedBytes += bytes;
        budget.add(bytes);
    }

    /** Reads on, or not, as the bounds allow; the budget calls it too, for those that it has stopped. */
    void updateAutoRead() {
        boolean belowOwnBound = bufferedBytes < maxBytes;
        boolean belowSharedBound = !heldBack || budget.hasCapacity();
        boolean autoRead = !shutDown && belowOwnBound && belowSharedBound;
        if (context.channel().config().isAutoRead() != autoRead) {
            context.channel().config().setAutoRead(autoRead);
        }
        if (!shutDown && belowOwnBound && !belowSharedBound) {
            budget.awaitCapacity(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        shutDown();
        ctx.fireChannelInactive();
    }
}
