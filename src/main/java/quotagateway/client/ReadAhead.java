package quotagateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.Transport;

/**
 * First on a client's connection: it is read on while its commands are held back, within a bound, as the
 * connection's end is seen only behind all that came before it. What has come goes on after the round of the
 * loop in which it came: an end that came with it is known by then, and nothing of it is taken any more.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {
    /** What all held connections keep together (bytes): a quarter of what requests may hold. */
    private static final long MOST_OF_ALL = 2L << 20;
    /** Those that the bound of all has stopped look this often (ms) whether there is room. */
    private static final double LOOK_AGAIN = 50;

    /** What the connections of one listener have in common. */
    static final class Shared {
        private final EventLoopContext loop;
        private final Set<ReadAhead> stopped = new LinkedHashSet<>();
        private long kept;
        private boolean waiting;

        Shared(EventLoopContext loop) {
            this.loop = loop;
        }

        private void stopped(ReadAhead one) {
            stopped.add(one);
            if (!waiting) {
                waiting = true;
                loop.schedule(LOOK_AGAIN, this::again);
            }
        }

        private void again() {
            waiting = false;
            ReadAhead[] all = stopped.toArray(new ReadAhead[0]);
            stopped.clear();
            for (ReadAhead each : all) {
                each.read();
            }
        }
    }

    private final Shared shared;
    private final int most = Transport.readAheadBytes();
    private final ArrayDeque<ByteBuf> kept = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private int bytes;
    private boolean held;
    private boolean shut;
    private boolean due;

    ReadAhead(Shared shared) {
        this.shared = shared;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    boolean held() {
        return held;
    }

    /** Whether something has come that has not gone on. */
    boolean isEmpty() {
        return kept.isEmpty();
    }

    /** Holds back what comes, or lets it go on, soon. */
    void hold(boolean on) {
        held = on;
        if (!shut) {
            goOn();
            read();
        }
    }

    /** From here on nothing is read, and what was kept is dropped. */
    void shut() {
        shut = true;
        drop();
        read();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object msg) {
        if (shut) {
            ReferenceCountUtil.release(msg);
            return;
        }
        kept.add((ByteBuf) msg);
        keep(((ByteBuf) msg).capacity()); // a byte of a slow client may stand in a large buffer
        read();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        goOn();
    }

    private void goOn() {
        if (!held && !due && !kept.isEmpty()) {
            due = true;
            ctx.executor().execute(this::pass);
        }
    }

    private void pass() {
        due = false;
        if (!ctx.channel().isActive()) {
            return; // closed in this round, by either side; that is told behind this
        }
        boolean any = false;
        while (!held && !kept.isEmpty()) {
            ByteBuf part = kept.poll();
            keep(-part.capacity());
            any = true;
            ctx.fireChannelRead(part);
        }
        if (any) {
            ctx.fireChannelReadComplete();
        }
        read();
    }

    private void keep(int more) {
        bytes += more;
        shared.kept += more;
    }

    private void read() {
        boolean room = bytes < most;
        boolean roomOfAll = !held || shared.kept < MOST_OF_ALL;
        boolean on = !shut && room && roomOfAll;
        if (ctx.channel().config().isAutoRead() != on) {
            ctx.channel().config().setAutoRead(on);
        }
        if (!shut && room && !roomOfAll) {
            shared.stopped(this);
        }
    }

    private void drop() {
        kept.forEach(ReferenceCountUtil::release);
        kept.clear();
        keep(-bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        shut();
        context.fireChannelInactive();
    }
}
