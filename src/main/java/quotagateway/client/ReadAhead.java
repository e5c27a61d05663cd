package quotagateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import quotagateway.streaming.ArrivalTimes;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.SocketAge;
import quotagateway.transport.Transport;

/**
 * First handler of a client connection: buffers input while the connection's commands are held back. The end of a
 * connection is only seen after all bytes before it, so reading continues, up to a limit of the connection and a budget
 * shared by all connections.
 *
 * <p>Input is forwarded in a later iteration of the event loop than the one in which it was read. If the connection
 * ends directly after the input, the end is known by then and the input is discarded. One read's input is forwarded in
 * an iteration, so that a connection that sends without end takes no more than its turn from the others.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter implements ArrivalTimes {
    /** The bytes of one read, and when they arrived (ms of the loop's clock). */
    private record Chunk(ByteBuf buffer, double receivedAtMs) {}

    /** Delay (ms) that lets the loop read all other connections first; a task without delay could run before them. */
    private static final int NEXT_ITERATION_MS = 0;
    /** Time (ms) between two rounds of reading input that is dropped. */
    private static final double DISCARD_INTERVAL_MS = 20;

    /** The socket was read until it was empty, and has been read as input arrived since then. */
    private static final double NOTHING_UNREAD = Double.MAX_VALUE;

    private final EventLoopContext loop;
    private final ReadAheadBudget budget;
    private final int maxBytes = Transport.readAheadBytes();
    /** Run when the limits have paused reading of a connection that is held back. */
    private final Runnable onFull;

    private final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
    private final double openedAtMs;
    /** The longest time (ms) that the first bytes may have been unread in the accept queue; 0 once they are read. */
    private double maxQueueWaitMs;
    /** When the bytes that were forwarded last arrived (ms of the loop's clock). */
    private double receivedAtMs;
    /** Since when (ms of the loop's clock) there may have been input that is still unread. */
    private double unreadSinceMs = NOTHING_UNREAD;

    private ChannelHandlerContext context;
    private int bufferedBytes;
    private boolean heldBack;
    private boolean shutDown;
    private boolean discarding;
    private boolean forwardScheduled;

    /**
     * Creates the handler of one connection.
     *
     * @param maxQueueWaitMs the longest time (ms) that the connection may have waited before it was accepted
     * @param onFull run when the limits have paused reading of a connection that is held back
     */
    ReadAhead(EventLoopContext loop, ReadAheadBudget budget, double maxQueueWaitMs, Runnable onFull) {
        this.loop = loop;
        this.budget = budget;
        this.maxQueueWaitMs = maxQueueWaitMs;
        this.onFull = onFull;
        openedAtMs = loop.now();
        receivedAtMs = openedAtMs;
    }

    @Override
    public double receivedAtMs() {
        return receivedAtMs;
    }

    @Override
    public double nextByteAtMs() {
        return chunks.isEmpty()
                ? Math.min(loop.now(), unreadSinceMs)
                : chunks.peek().receivedAtMs();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    boolean isHeldBack() {
        return heldBack;
    }

    /** Returns whether no more is read before some input has been forwarded, so that an end of it is not seen. */
    boolean isFull() {
        return bufferedBytes >= maxBytes || (!chunks.isEmpty() && !budget.hasCapacity());
    }

    /** Returns whether everything read has been forwarded. */
    boolean isEmpty() {
        return chunks.isEmpty();
    }

    /** Forwards nothing until {@link #resume()} is called. */
    void holdBack() {
        heldBack = true;
        if (!shutDown && !discarding) {
            updateAutoRead();
        }
    }

    /** Forwards the buffered input in a later iteration of the event loop, and then input as it is read. */
    void resume() {
        heldBack = false;
        if (!shutDown && !discarding) {
            scheduleForward();
            updateAutoRead();
        }
    }

    /** Drops the buffered input and stops reading. */
    void shutDown() {
        shutDown = true;
        dropBuffered();
        updateAutoRead();
    }

    /**
     * Drops the buffered input, and goes on to read and drop, so that the end of the connection is seen and no input is
     * left unread. The pace is limited, as a client may send without end.
     */
    void discardInput() {
        if (!shutDown) {
            discarding = true;
            dropBuffered();
            readToDiscard();
        }
    }

    private void readToDiscard() {
        if (context.channel().isActive()) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void dropBuffered() {
        chunks.forEach(chunk -> chunk.buffer().release());
        chunks.clear();
        addBuffered(-bufferedBytes);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (shutDown || discarding) {
            ReferenceCountUtil.release(msg);
            return;
        }
        ByteBuf buffer = (ByteBuf) msg;
        chunks.add(new Chunk(buffer, Math.min(unreadSinceMs, loop.now() - unreadDurationMs())));
        addBuffered(buffer.capacity()); // not readableBytes(): one byte of a slow client may hold a large buffer
        updateAutoRead();
    }

    /**
     * Returns how long (ms) the bytes that are read now had been unread. Queries the kernel if the connection may have
     * waited in the accept queue. The kernel may use another clock, so its value is bounded by the loop's clock.
     */
    private double unreadDurationMs() {
        if (maxQueueWaitMs <= 0) {
            return 0;
        }
        double maxUnreadMs = maxQueueWaitMs + loop.now() - openedAtMs;
        maxQueueWaitMs = 0;
        return Math.min(maxUnreadMs, SocketAge.sinceLastBytesMs(context.channel()));
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (discarding && !shutDown) {
            ctx.channel().config().setAutoRead(false);
            loop.schedule(DISCARD_INTERVAL_MS, this::readToDiscard);
            return;
        }
        if (ctx.channel().config().isAutoRead() && isSocketEmpty(ctx.channel())) {
            unreadSinceMs = NOTHING_UNREAD;
        }
        scheduleForward();
    }

    /** Returns whether the last read got less than it could have got. */
    private static boolean isSocketEmpty(Channel channel) {
        var lastRead = channel.unsafe().recvBufAllocHandle();
        return lastRead.lastBytesRead() <= 0 || lastRead.lastBytesRead() < lastRead.attemptedBytesRead();
    }

    private void scheduleForward() {
        if (!heldBack && !forwardScheduled && !chunks.isEmpty()) {
            forwardScheduled = true;
            context.executor().schedule(this::forwardBuffered, NEXT_ITERATION_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void forwardBuffered() {
        forwardScheduled = false;
        if (!context.channel().isActive()) {
            return; // closed in the previous iteration, by either side: channelInactive follows
        }
        if (!heldBack && !chunks.isEmpty()) {
            Chunk chunk = chunks.poll();
            addBuffered(-chunk.buffer().capacity());
            receivedAtMs = chunk.receivedAtMs();
            context.fireChannelRead(chunk.buffer()); // may lead to holdBack or shutDown
            context.fireChannelReadComplete();
        }
        updateAutoRead();
        scheduleForward();
    }

    private void addBuffered(int bytes) {
        bufferedBytes += bytes;
        budget.add(bytes);
    }

    /** Reads or pauses as the limits require; the budget also calls this for connections that it has paused. */
    void updateAutoRead() {
        if (discarding && !shutDown) {
            return;
        }
        boolean belowConnectionLimit = bufferedBytes < maxBytes;
        boolean belowSharedLimit = !heldBack || budget.hasCapacity();
        boolean autoRead = !shutDown && belowConnectionLimit && belowSharedLimit;
        if (context.channel().config().isAutoRead() != autoRead) {
            context.channel().config().setAutoRead(autoRead);
            if (!autoRead) {
                unreadSinceMs = Math.min(unreadSinceMs, loop.now());
            }
        }
        if (!shutDown && belowConnectionLimit && !belowSharedLimit) {
            budget.awaitCapacity(this);
        }
        if (heldBack && !autoRead && !shutDown && isFull()) {
            onFull.run();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        shutDown();
        ctx.fireChannelInactive();
    }
}
