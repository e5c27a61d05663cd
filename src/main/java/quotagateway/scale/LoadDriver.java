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
    private static final int CONNECTIONS = 300;

    private static final double LONGEST_US = 60e6;

    /** A request that is to go to a node at a time (ns). */
    private record ScheduledRequest(Target target, String command, long intended) {}

    private static final class Target {
        final InetSocketAddress address;
        final ArrayDeque<Channel> idle = new ArrayDeque<>();
        final ArrayDeque<ScheduledRequest> waiting = new ArrayDeque<>();
        int connections;

        Target(InetSocketAddress address) {
            this.address = address;
        }
    }

    /** What has become of the requests since the last time. */
    record LoadCounts(long asked, long served, long refused, long failed, Histogram added) {}

    private final EventLoopGroup group;
    private final List<Target> targets;
    private final CustomerPopulation customers;
    private final SplittableRandom random;
    private final double rate;
    private final int fleet;
    private double due;
    private long ids;
    private boolean stopped;
    private long asked;
    private long served;
    private long refused;
    private long failed;
    private Histogram added = new Histogram(3);

    /** The nodes may be the first of a larger fleet: the sets of their customers are then of that size. */
    LoadDriver(
            EventLoopGroup group,
            List<InetSocketAddress> nodes,
            int fleet,
            CustomerPopulation customers,
            double rate,
            long seed) {
        this.fleet = fleet;
        this.group = group;
        this.customers = customers;
        this.rate = rate;
        random = new SplittableRandom(seed);
        targets = nodes.stream().map(Target::new).toList();
    }

    void start() {
        group.execute(() -> {
            due = System.nanoTime();
            next();
        });
    }

    void stop() throws InterruptedException {
        group.submit(() -> {
                    stopped = true;
                    targets.forEach(t -> t.idle.forEach(Channel::close));
                })
                .await();
    }

    /** What has happened since the last call. */
    LoadCounts take() throws Exception {
        return group.submit(() -> {
                    LoadCounts now = new LoadCounts(asked, served, refused, failed, added);
                    asked = served = refused = failed = 0;
                    added = new Histogram(3);
                    return now;
                })
                .get();
    }

    /** All that are due by now go; the next time is by the plan, not by when this ran. */
    private void next() {
        while (!stopped && due <= System.nanoTime()) {
            ask((long) due);
            due -= 1e9 / rate * Math.log(1 - random.nextDouble());
        }
        if (!stopped) {
            group.schedule(this::next, (long) due - System.nanoTime(), TimeUnit.NANOSECONDS);
        }
    }

    private void ask(long intended) {
        int customer = customers.pick(random);
        boolean all = targets.size() == fleet;
        int first = all ? CustomerPopulation.firstNode(customer, fleet) : 0;
        int spread = Math.min(fleet, ScaleSettings.GATEWAYS_PER_CUSTOMER);
        Target target = targets.get((first + random.nextInt(spread)) % targets.size());
        String type = ScaleSettings.requestClass(random.nextDouble());
        String id = String.format("%016x", ++ids);
        String list = "c=" + type + ",t=" + ScaleSettings.PLAN + ",d=" + Math.round(ScaleSettings.DEADLINE_MS)
                + (type.equals(ScaleSettings.KEYED) ? ",k=" + id : "") + ",units=1,spread=" + spread + ",first="
                + first;
        String command = type.equals(ScaleSettings.READ)
                ? StandInLoops.command("CALL.GET", customers.name(customer), id, list)
                : StandInLoops.command("CALL.POST", customers.name(customer), id, list, "body");
        asked++;
        ScheduledRequest a = new ScheduledRequest(target, command, intended);
        Channel idle = target.idle.poll();
        if (idle != null) {
            send(idle, a);
            return;
        }
        target.waiting.add(a);
        if (target.connections < CONNECTIONS) {
            target.connections++;
            StandInLoops.connect(
                            group,
                            target.address,
                            new RedisDecoder(),
                            new RedisBulkStringAggregator(),
                            new ClientConnection(target))
                    .addListener(f -> {
                        if (!f.isSuccess()) {
                            target.connections--;
                            failWaiting(target);
                        }
                    });
        }
    }

    /** The one that has waited longest goes without. */
    private void failWaiting(Target target) {
        if (target.waiting.poll() != null) {
            failed++;
        }
    }

    private static void send(Channel to, ScheduledRequest a) {
        to.pipeline().get(ClientConnection.class).out = a;
        to.writeAndFlush(ByteBufUtil.writeAscii(to.alloc(), a.command));
    }

    private final class ClientConnection extends SimpleChannelInboundHandler<RedisMessage> {
        private final Target target;
        private ScheduledRequest out;

        ClientConnection(Target target) {
            this.target = target;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            free(ctx.channel());
        }

        private void free(Channel channel) {
            ScheduledRequest next = target.waiting.poll();
            if (next != null) {
                send(channel, next);
            } else {
                target.idle.add(channel);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, RedisMessage answer) {
            ScheduledRequest a = out;
            if (a == null) {
                return; // no request of ours
            }
            out = null;
            if (answer instanceof FullBulkStringRedisMessage value && !value.isNull()) {
                served++;
                String held = value.content().toString(StandardCharsets.US_ASCII);
                double took = System.nanoTime() - a.intended - Double.parseDouble(held.substring("held=".length()));
                added.recordValue((long) Math.max(1, Math.min(took / 1000, LONGEST_US)));
            } else if (answer instanceof ErrorRedisMessage error
                    && error.content().startsWith("BUSY")) {
                refused++;
            } else {
                failed++;
            }
            free(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            target.connections--;
            target.idle.remove(ctx.channel());
            failed += out == null ? 0 : 1;
            out = null;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
