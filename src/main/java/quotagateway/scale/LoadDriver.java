package quotagateway.scale;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisBulkStringAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisMessage;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Clients that load real nodes in an open loop. The latency of a request counts from when it was due, also where all
 * connections were busy or this loop was late: a slow node cannot reduce its own load.
 */
final class LoadDriver {
    /** Clients have up to a third of a node's descriptors. */
    private static final int MAX_CONNECTIONS_PER_NODE = 300;

    private static final double MAX_RECORDED_US = 60e6;

    /** A request that is to go to a node at a time (ns). */
    private record ScheduledRequest(Target target, String command, long dueNanos) {}

    private static final class Target {
        final InetSocketAddress address;
        final ArrayDeque<Channel> idleConnections = new ArrayDeque<>();
        final ArrayDeque<ScheduledRequest> waitingRequests = new ArrayDeque<>();
        int connectionCount;

        Target(InetSocketAddress address) {
            this.address = address;
        }
    }

    /**
     * What became of the requests of a time.
     *
     * @param addedLatency latency of served requests without the endpoint's time (us)
     */
    record LoadCounts(long sent, long served, long rejected, long failed, Histogram addedLatency) {}

    private final EventLoopGroup group;
    private final List<Target> targets;
    private final CustomerPopulation customers;
    private final SplittableRandom random;
    private final double requestsPerSecond;
    private final int nodeCount;
    private double nextDueNanos;
    private long lastRequestNumber;
    private boolean stopped;
    private long sent;
    private long served;
    private long rejected;
    private long failed;
    private Histogram addedLatency = new Histogram(3);

    /**
     * A load that has not started.
     *
     * @param nodes where the nodes listen
     * @param nodeCount size of the fleet by the nodes' settings, which may be larger than the list of nodes
     * @param requestsPerSecond at all nodes together
     */
    LoadDriver(
            EventLoopGroup group,
            List<InetSocketAddress> nodes,
            int nodeCount,
            CustomerPopulation customers,
            double requestsPerSecond,
            long seed) {
        this.nodeCount = nodeCount;
        this.group = group;
        this.customers = customers;
        this.requestsPerSecond = requestsPerSecond;
        random = new SplittableRandom(seed);
        targets = nodes.stream().map(Target::new).toList();
    }

    void start() {
        group.execute(() -> {
            nextDueNanos = System.nanoTime();
            sendDueRequests();
        });
    }

    void stop() throws InterruptedException {
        group.submit(() -> {
                    stopped = true;
                    targets.forEach(t -> t.idleConnections.forEach(Channel::close));
                })
                .await();
    }

    /** What has happened since the last call. */
    LoadCounts takeCounts() throws Exception {
        return group.submit(() -> {
                    LoadCounts now = new LoadCounts(sent, served, rejected, failed, addedLatency);
                    sent = served = rejected = failed = 0;
                    addedLatency = new Histogram(3);
                    return now;
                })
                .get();
    }

    /** Sends all requests that are due; the times of the next ones do not depend on when this runs. */
    private void sendDueRequests() {
        while (!stopped && nextDueNanos <= System.nanoTime()) {
            sendRequest((long) nextDueNanos);
            nextDueNanos -= 1e9 / requestsPerSecond * Math.log(1 - random.nextDouble());
        }
        if (!stopped) {
            group.schedule(this::sendDueRequests, (long) nextDueNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        }
    }

    private void sendRequest(long dueNanos) {
        int customer = customers.pick(random);
        boolean all = targets.size() == nodeCount;
        int first = all ? CustomerPopulation.firstNode(customer, nodeCount) : 0;
        int gatewayCount = Math.min(nodeCount, ScaleSettings.GATEWAYS_PER_CUSTOMER);
        Target target = targets.get((first + random.nextInt(gatewayCount)) % targets.size());
        String command = command(customers.name(customer), gatewayCount, first);
        sent++;
        ScheduledRequest request = new ScheduledRequest(target, command, dueNanos);
        Channel idle = target.idleConnections.poll();
        if (idle != null) {
            send(idle, request);
            return;
        }
        target.waitingRequests.add(request);
        if (target.connectionCount < MAX_CONNECTIONS_PER_NODE) {
            target.connectionCount++;
            StandInLoops.connect(
                            group,
                            target.address,
                            new RedisDecoder(),
                            new RedisBulkStringAggregator(),
                            new ClientConnection(target))
                    .addListener(f -> {
                        if (!f.isSuccess()) {
                            target.connectionCount--;
                            failWaiting(target);
                        }
                    });
        }
    }

    private String command(String customer, int gatewayCount, int firstGateway) {
        String requestClass = ScaleSettings.requestClass(random.nextDouble());
        String id = String.format("%016x", ++lastRequestNumber);
        String fields = "c=" + requestClass + ",t=" + ScaleSettings.PLAN + ",d="
                + Math.round(ScaleSettings.DEADLINE_MS)
                + (requestClass.equals(ScaleSettings.KEYED) ? ",k=" + id : "")
                + ",units=1,spread=" + gatewayCount + ",first=" + firstGateway;
        return requestClass.equals(ScaleSettings.READ)
                ? StandInLoops.command("CALL.GET", customer, id, fields)
                : StandInLoops.command("CALL.POST", customer, id, fields, "body");
    }

    /** Fails the request that has waited longest for a connection. */
    private void failWaiting(Target target) {
        if (target.waitingRequests.poll() != null) {
            failed++;
        }
    }

    private static void send(Channel to, ScheduledRequest a) {
        to.pipeline().get(ClientConnection.class).inFlight = a;
        to.writeAndFlush(ByteBufUtil.writeAscii(to.alloc(), a.command));
    }

    private final class ClientConnection extends SimpleChannelInboundHandler<RedisMessage> {
        private final Target target;
        private ScheduledRequest inFlight;

        ClientConnection(Target target) {
            this.target = target;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendNextOrIdle(ctx.channel());
        }

        private void sendNextOrIdle(Channel channel) {
            ScheduledRequest next = target.waitingRequests.poll();
            if (next != null) {
                send(channel, next);
            } else {
                target.idleConnections.add(channel);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, RedisMessage answer) {
            ScheduledRequest a = inFlight;
            if (a == null) {
                return; // no request of ours
            }
            inFlight = null;
            if (answer instanceof FullBulkStringRedisMessage value && !value.isNull()) {
                served++;
                String held = value.content().toString(StandardCharsets.US_ASCII);
                double took = System.nanoTime() - a.dueNanos - Double.parseDouble(held.substring("held=".length()));
                addedLatency.recordValue((long) Math.max(1, Math.min(took / 1000, MAX_RECORDED_US)));
            } else if (answer instanceof ErrorRedisMessage error
                    && error.content().startsWith("BUSY")) {
                rejected++;
            } else {
                failed++;
            }
            sendNextOrIdle(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            target.connectionCount--;
            target.idleConnections.remove(ctx.channel());
            failed += inFlight == null ? 0 : 1;
            inFlight = null;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
