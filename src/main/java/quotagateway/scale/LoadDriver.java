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
 * Clients: an open loop by one seed. A request's time counts from when it was to be sent, also where all
 * connections were busy or this loop was late, so a slow node cannot slow its own load down.
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

    /** What has become of the requests since the last time. */
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

    /** The nodes may be the first of a larger fleet: the sets of their customers are then of that size. */
    LoadDriver(
            EventLoopGroup group,
            List<InetSocketAddress> nodes,
            int fleet,
            CustomerPopulation customers,
            double rate,
            long seed) {
        this.nodeCount = fleet;
        this.group = group;
        this.customers = customers;
        this.requestsPerSecond = rate;
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

    /** All that are due by now go; the next time is by the plan, not by when this ran. */
    private void sendDueRequests() {
        while (!stopped && nextDueNanos <= System.nanoTime()) {
            sendRequest((long) nextDueNanos);
            nextDueNanos -= 1e9 / requestsPerSecond * Math.log(1 - random.nextDouble());
        }
        if (!stopped) {
            group.schedule(this::sendDueRequests, (long) nextDueNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        }
    }

    private void sendRequest(long intended) {
        int customer = customers.pick(random);
        boolean all = targets.size() == nodeCount;
        int first = all ? CustomerPopulation.firstNode(customer, nodeCount) : 0;
        int spread = Math.min(nodeCount, ScaleSettings.GATEWAYS_PER_CUSTOMER);
        Target target = targets.get((first + random.nextInt(spread)) % targets.size());
        String type = ScaleSettings.requestClass(random.nextDouble());
        String id = String.format("%016x", ++lastRequestNumber);
        String list = "c=" + type + ",t=" + ScaleSettings.PLAN + ",d=" + Math.round(ScaleSettings.DEADLINE_MS)
                + (type.equals(ScaleSettings.KEYED) ? ",k=" + id : "") + ",units=1,spread=" + spread + ",first="
                + first;
        String command = type.equals(ScaleSettings.READ)
                ? StandInLoops.command("CALL.GET", customers.name(customer), id, list)
                : StandInLoops.command("CALL.POST", customers.name(customer), id, list, "body");
        sent++;
        ScheduledRequest a = new ScheduledRequest(target, command, intended);
        Channel idle = target.idleConnections.poll();
        if (idle != null) {
            send(idle, a);
            return;
        }
        target.waitingRequests.add(a);
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

    /** The one that has waited longest goes without. */
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
