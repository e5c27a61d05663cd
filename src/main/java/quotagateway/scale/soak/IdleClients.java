package quotagateway.scale.soak;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import quotagateway.scale.StandInLoops;

/** A crowd of clients that connect to each node and send nothing. One whose connection ends comes again. */
final class IdleClients {
    private static final int COME_WITHIN_MS = 3000;
    private static final int MIN_ABSENCE_MS = 500;
    private static final int MAX_ABSENCE_MS = 2000;

    private final EventLoopGroup group;
    private final SplittableRandom random;
    private boolean stopped;

    IdleClients(EventLoopGroup group, long seed) {
        this.group = group;
        random = new SplittableRandom(seed);
    }

    /** So many clients come to each node, over some seconds. */
    void start(List<NodeSlot> nodes, int clientsPerNode) {
        group.execute(() -> {
            for (NodeSlot node : nodes) {
                for (int i = 0; i < clientsPerNode; i++) {
                    connectLater(node, random.nextInt(COME_WITHIN_MS));
                }
            }
        });
    }

    /** None comes again. */
    void stop() {
        group.execute(() -> stopped = true);
    }

    private void connectLater(NodeSlot node, int delayMs) {
        group.schedule(() -> connect(node), delayMs, TimeUnit.MILLISECONDS);
    }

    private void comeAgain(NodeSlot node) {
        if (!stopped) {
            connectLater(node, MIN_ABSENCE_MS + random.nextInt(MAX_ABSENCE_MS - MIN_ABSENCE_MS));
        }
    }

    private void connect(NodeSlot node) {
        if (stopped || !node.mayConnect()) {
            comeAgain(node);
            return;
        }
        StandInLoops.connect(group, node.address(), new IdleHandler(node)).addListener(connected -> {
            if (!connected.isSuccess()) {
                comeAgain(node);
            }
        });
    }

    private final class IdleHandler extends ChannelInboundHandlerAdapter {
        private final NodeSlot node;

        IdleHandler(NodeSlot node) {
            this.node = node;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            comeAgain(node);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // reset by the node
        }
    }
}
