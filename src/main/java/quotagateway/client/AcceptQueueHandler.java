package quotagateway.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import quotagateway.transport.EventLoopContext;

/**
 * On a listening channel: closes it at a moment at which its queue is empty. A close resets what still waits in the
 * queue, and these clients would have to connect again.
 */
final class AcceptQueueHandler extends ChannelInboundHandlerAdapter {
    /** With no connection for so long (ms) the queue is taken to be empty. */
    private static final double QUIET_MS = 30;
    /** Lets the loop look at the queue once more: a late loop may not have done so in all that time. */
    private static final double NEXT_ROUND_MS = 1;
    /** The queue was empty after the last round, and connections are accepted as they come. */
    private static final double NOT_WAITING = Double.MAX_VALUE;

    private final EventLoopContext loop;
    private final int maxPerRound;
    private Channel channel;
    private int acceptedInRound;
    private long acceptedInAll;
    private boolean closing;
    /** Since when (ms of the loop's clock) connections may be waiting in the queue. */
    private double mayWaitSinceMs = NOT_WAITING;

    /** The second is how many connections the channel accepts in one round of the loop. */
    AcceptQueueHandler(EventLoopContext loop, int maxPerRound) {
        this.loop = loop;
        this.maxPerRound = maxPerRound;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Closes the channel at the next moment at which its queue is empty. */
    void closeWhenEmpty() {
        closing = true;
        channel.config().setAutoRead(true);
        loop.schedule(QUIET_MS, this::closeWhenQuiet);
    }

    /** Accepts connections as they come, or leaves them in the queue; one that is to be closed is emptied. */
    void setAccepting(boolean accepting) {
        boolean acceptsNow = closing || accepting;
        if (!acceptsNow && mayWaitSinceMs == NOT_WAITING) {
            mayWaitSinceMs = loop.now();
        }
        channel.config().setAutoRead(acceptsNow);
    }

    /** How long (ms) a connection that is accepted now may have waited in the queue. */
    double longestWaitMs() {
        return Math.max(0, loop.now() - mayWaitSinceMs);
    }

    private void closeWhenQuiet() {
        long acceptedBefore = acceptedInAll;
        loop.schedule(NEXT_ROUND_MS, () -> {
            if (acceptedInAll == acceptedBefore) {
                channel.close();
            } else {
                closeWhenQuiet();
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        acceptedInRound++;
        acceptedInAll++;
        ctx.fireChannelRead(msg);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        boolean queueEmpty = acceptedInRound < maxPerRound; // else it may be the round's bound that has ended it
        acceptedInRound = 0;
        if (queueEmpty && channel.config().isAutoRead()) {
            mayWaitSinceMs = NOT_WAITING;
        }
        if (closing && queueEmpty) {
            ctx.close();
        }
        ctx.fireChannelReadComplete();
    }
}
