package quotagateway.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * On a listener: with no descriptor left it accepts none for a while. The library's own answer is a line of
 * its log, whose date needs a file that cannot be opened then either: that error ended the event loop.
 */
public final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    /** Until the next attempt (ms): connections end within some tens of it, and who waits is not answered. */
    private static final double PAUSE = 100;

    private final EventLoopContext loop;
    private final Runnable resume;

    /** Resume is run after the pause: it decides whether connections are accepted again. */
    public AcceptFailureHandler(EventLoopContext loop, Runnable resume) {
        this.loop = loop;
        this.resume = resume;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Channel listener = ctx.channel();
        loop.logFailure("accept", cause);
        listener.config().setAutoRead(false);
        loop.schedule(PAUSE, resume);
    }
}
