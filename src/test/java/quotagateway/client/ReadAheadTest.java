package quotagateway.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;
import quotagateway.transport.ManualEventLoop;
import quotagateway.transport.Transport;

class ReadAheadTest {
    private static final int BUDGET_BYTES = 2 << 20;

    private final ManualEventLoop loop = new ManualEventLoop();
    private final ReadAheadBudget budget = new ReadAheadBudget(loop);
    private final ReadAhead readAhead = new ReadAhead(loop, budget, 0, () -> {});
    private final EmbeddedChannel channel = new EmbeddedChannel(readAhead);

    private static ByteBuf bytes(int size) {
        return Unpooled.buffer(size, size).writeZero(size);
    }

    @Test
    void inputIsForwardedInALaterLoopIteration() {
        // bypasses the pipeline, as EmbeddedChannel runs the next loop iteration immediately
        ChannelHandlerContext context = channel.pipeline().context(readAhead);
        readAhead.channelRead(context, bytes(10));
        readAhead.channelReadComplete(context);
        assertFalse(readAhead.isEmpty());
        assertTrue(channel.inboundMessages().isEmpty());
        channel.runPendingTasks();
        assertTrue(readAhead.isEmpty());
        assertEquals(1, channel.inboundMessages().size());
        channel.releaseInbound();
    }

    @Test
    void heldBackConnectionIsReadUpToItsLimitAndResumed() {
        readAhead.holdBack();
        channel.writeInbound(bytes(Transport.readAheadBytes() - 1));
        assertTrue(channel.config().isAutoRead());
        channel.writeInbound(bytes(1));
        assertFalse(channel.config().isAutoRead());
        assertTrue(channel.inboundMessages().isEmpty());
        readAhead.resume();
        channel.runPendingTasks();
        channel.runPendingTasks(); // a read a turn
        assertTrue(channel.config().isAutoRead());
        assertEquals(2, channel.inboundMessages().size());
        channel.releaseInbound();
    }

    @Test
    void exhaustedBudgetPausesHeldBackConnectionsUntilItHasCapacity() {
        EmbeddedChannel running = new EmbeddedChannel(new ReadAhead(loop, budget, 0, () -> {}));
        budget.add(BUDGET_BYTES);
        readAhead.holdBack();
        assertFalse(channel.config().isAutoRead());
        running.writeInbound(bytes(1));
        assertTrue(running.config().isAutoRead());
        loop.advance(50);
        assertFalse(channel.config().isAutoRead());
        budget.add(-BUDGET_BYTES);
        loop.advance(50);
        assertTrue(channel.config().isAutoRead());
        running.releaseInbound();
    }

    @Test
    void shutDownDropsBufferedInputAndStopsReading() {
        ByteBuf buffered = bytes(BUDGET_BYTES);
        ByteBuf late = bytes(1);
        readAhead.holdBack();
        channel.writeInbound(buffered);
        assertFalse(budget.hasCapacity());
        readAhead.shutDown();
        channel.writeInbound(late);
        assertEquals(0, buffered.refCnt());
        assertEquals(0, late.refCnt());
        assertTrue(budget.hasCapacity());
        assertFalse(channel.config().isAutoRead());
    }

    /** Guards against a deadline that is too late: input that was not read may have arrived when reading was paused. */
    @Test
    void inputAfterAPauseCountsAsArrivedWhenThePauseBegan() {
        assertEquals(loop.now(), readAhead.nextByteAtMs());
        readAhead.holdBack();
        double pausedAtMs = loop.now();
        channel.writeInbound(bytes(Transport.readAheadBytes()));
        loop.advance(1000);
        assertEquals(pausedAtMs, readAhead.nextByteAtMs());
        readAhead.resume();
        channel.runPendingTasks();
        ChannelHandlerContext context = channel.pipeline().context(readAhead);
        loop.advance(500);
        readAhead.channelRead(context, bytes(1)); // the socket is not empty yet
        assertEquals(pausedAtMs, readAhead.nextByteAtMs());
        channel.runPendingTasks();
        readAhead.channelReadComplete(context);
        channel.runPendingTasks();
        loop.advance(500);
        assertEquals(loop.now(), readAhead.nextByteAtMs());
        channel.releaseInbound();
    }

    /** Guards against a client that sends without end and keeps others waiting (picture b): it gets a read a turn. */
    @Test
    void otherTasksRunBetweenTheReadsOfAConnection() {
        StringBuilder order = new StringBuilder();
        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object msg) {
                ReferenceCountUtil.release(msg);
                order.append("read ");
                ctx.executor().execute(() -> order.append("other "));
            }
        });
        ChannelHandlerContext context = channel.pipeline().context(readAhead);
        for (int i = 0; i < 3; i++) {
            readAhead.channelRead(context, bytes(10));
        }
        readAhead.channelReadComplete(context);
        for (int turn = 0; turn < 4; turn++) {
            channel.runPendingTasks();
        }
        assertEquals("read other read other read other ", order.toString());
    }
}
