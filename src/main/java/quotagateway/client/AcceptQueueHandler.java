package quotagateway.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import quotagateway.transport.EventLoopContext;

/**
 * Counts the connections that a listening channel accepts, and closes the channel only while its accept queue is empty.
 * A close resets the connections that are still queued, and their clients would have to reconnect.
 */
final class AcceptQueueHandler extends ChannelInboundHandlerAdapter {
    /** Time without a new connection (ms) after which the queue is assumed to be empty. */
    private static final double QUIET_PERIOD_MS = 30;
    /** Delay (ms) that lets the event loop read the queue once more, as a late loop may not have done so meanwhile. */
    private static final double NEXT_ITERATION_MS = 1;
    /** The queue was empty after the last read, and connections are accepted as they arrive. */
    private static final double QUEUE_EMPTY = Double.MAX_VALUE;

    private final EventLoopContext loop;
    private final int maxAcceptsPerRead;
    private Channel channel;
    private int acceptedInRead;
    private long acceptedTotal;
    private boolean closing;
    /** Earliest time (ms of the loop's clock) at which a connection that is still queued may have arrived. */
    private double earliestArrivalMs = QUEUE_EMPTY;

    /**
     * Creates the handler of one listening channel.
     *
     * @param maxAcceptsPerRead the most connections that the channel accepts in one read
     */
    AcceptQueueHandler(EventLoopContext loop, int maxAcceptsPerRead) {
        this.loop = loop;
        this.maxAcceptsPerRead = maxAcceptsPerRead;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Closes the channel as soon as its queue is empty. */
    void closeWhenEmpty() {
        closing = true;
        channel.config().setAutoRead(true);
        loop.schedule(QUIET_PERIOD_MS, this::closeAfterQuietPeriod);
    }

    /**
     * Accepts connections as they arrive, or leaves them in the queue. A channel that is about to close keeps accepting
     * until its queue is empty.
     */
    void setAccepting(boolean accepting) {
        boolean autoRead = closing || accepting;
        if (!autoRead && earliestArrivalMs == QUEUE_EMPTY) {
            earliestArrivalMs = loop.now();
        }
        channel.config().setAutoRead(autoRead);
    }

    /** Returns the longest time (ms) that a connection accepted now may have waited in the queue. */
    double maxQueueWaitMs() {
        return Math.max(0, loop.now() - earliestArrivalMs);
    }

    private void closeAfterQuietPeriod() {
        long acceptedBefore = acceptedTotal;
        loop.schedule(NEXT_ITERATION_MS, () -> {
            if (acceptedTotal == acceptedBefore) {
                channel.close();
            } else {
                closeAfterQuietPeriod();
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        acceptedInRead++;
        acceptedTotal++;
        ctx.fireChannelRead(msg);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        boolean queueEmpty = acceptedInRead < maxAcceptsPerRead; // otherwise the read may have ended at its limit
        acceptedInRead = 0;
        if (queueEmpty && channel.config().isAutoRead()) {
            earliestArrivalMs = QUEUE_EMPTY;
        }
        if (closing && queueEmpty) {
            ctx.close();
        }
        ctx.fireChannelReadComplete();
    }
}
