package quotagateway.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * In the pipeline of a listening channel: where accepting fails, for want of a descriptor, it accepts nothing for a
 * while. Without it Netty would log the failure by itself, and the first line of its log reads a time zone from a file
 * that cannot be opened then either; that error ended the event loop.
 */
public final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    /** The pause (ms) until accepting is tried again: connections end within some tens of it, and clients wait. */
    private static final double PAUSE_MS = 100;

    private final EventLoopContext loop;
    private final Runnable resume;

    /** Makes a handler that runs a task after the pause, which decides whether connections are accepted again. */
    public AcceptFailureHandler(EventLoopContext loop, Runnable resume) {
        this.loop = loop;
        this.resume = resume;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Channel listener = ctx.channel();
        loop.logFailure("accept", cause);
        listener.config().setAutoRead(false);
        loop.schedule(PAUSE_MS, resume);
    }
}
