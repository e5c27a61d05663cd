package quotagateway.scale.soak;

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
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.RequestClass;
import quotagateway.scale.ScaleSettings;
import quotagateway.scale.StandInLoops;

/**
 * Clients of all nodes on one loop: an open load, on connections that they keep. Some write slowly, send many
 * commands at once, leave early, or connect and ask only later; all go on sending on what is open while a
 * node ends.
 */
final class ClientFleet {
    /** A request is waited for so long (ms) past its time before it counts as unanswered. */
    private static final double UNANSWERED_AFTER_MS = 800;

    private static final int MAX_PIECES = 4;
    private static final int MAX_PIECE_PAUSE_MS = 150;
    private static final int MAX_PIPELINED = 5;
    private static final int MAX_ASK_LATE_MS = 900;
    /** Connections that come to a node while it is told to end, in so long (ms), and ask only later. */
    private static final int LATE_CONNECTIONS = 8;

    private static final int LATE_CONNECTIONS_WITHIN_MS = 330;
    /** Customers of each set of nodes. */
    private static final int CUSTOMERS_PER_NODE_SET = 8;

    private static final double NANOS_PER_MS = 1e6;

    /** What a client does with its next request. */
    private enum ClientBehaviour {
        PLAIN,
        SLOW,
        PIPELINE,
        LEAVE,
        ASK_LATE
    }

    private final EventLoopGroup group;
    private final RunClock clock;
    private final SoakSettings settings;
    private final List<NodeSlot> nodes;
    private final List<ArrayDeque<ClientConnection>> idleConnections = new ArrayList<>();
    private final List<ClientRequest> requests = new ArrayList<>();
    private final SplittableRandom random;
    private final double meanPauseMs;
    private long lastRequestNumber;
    private boolean stopped;

    /** Rate is of requests a second at each node. */
    ClientFleet(
            EventLoopGroup group, RunClock clock, SoakSettings settings, List<NodeSlot> nodes, double rate, long seed) {
        this.group = group;
        this.clock = clock;
        this.settings = settings;
        this.nodes = nodes;
        random = new SplittableRandom(seed);
        meanPauseMs = 1000 / rate;
        nodes.forEach(node -> idleConnections.add(new ArrayDeque<>()));
    }

    void start() {
        nodes.forEach(node -> group.execute(() -> scheduleNextRequest(node)));
    }

    /** No more requests; those that are open are waited for. */
    void stop() {
        group.execute(() -> stopped = true);
    }

    /** Whether any request is still waited for. */
    boolean isWaiting() throws Exception {
        return group.submit(() -> requests.stream().anyMatch(r -> r.end == ClientRequest.End.OPEN))
                .get();
    }

    /** All requests so far. */
    List<ClientRequest> requests() throws Exception {
        return group.submit(() -> List.copyOf(requests)).get();
    }

    private void after(double milliseconds, Runnable what) {
        group.schedule(what, Math.round(milliseconds * NANOS_PER_MS), TimeUnit.NANOSECONDS);
    }

    private void scheduleNextRequest(NodeSlot node) {
        if (stopped) {
            return;
        }
        sendRequest(node);
        after(-meanPauseMs * Math.log(1 - random.nextDouble()), () -> scheduleNextRequest(node));
    }

    /** The front brings clients in for a while after a node has been told to end. */
    void onNodeTerminated(NodeSlot node) {
        group.execute(() -> {
            for (int i = 0; i < LATE_CONNECTIONS && !stopped; i++) {
                after(random.nextInt(LATE_CONNECTIONS_WITHIN_MS), () -> connect(node, ClientBehaviour.ASK_LATE));
            }
        });
    }

    private ClientBehaviour drawBehaviour() {
        double chance = random.nextDouble();
        return chance < 0.7
                ? ClientBehaviour.PLAIN
                : chance < 0.78
                        ? ClientBehaviour.SLOW
                        : chance < 0.86
                                ? ClientBehaviour.PIPELINE
                                : chance < 0.94 ? ClientBehaviour.LEAVE : ClientBehaviour.ASK_LATE;
    }

    private void sendRequest(NodeSlot node) {
        ClientBehaviour habit = drawBehaviour();
        ClientConnection line = habit == ClientBehaviour.ASK_LATE
                ? null
                : idleConnections.get(node.number).pollLast();
        if (line != null) {
            line.send(habit);
        } else if (node.mayConnect()) {
            connect(node, habit);
        }
    }

    private void connect(NodeSlot node, ClientBehaviour habit) {
        ClientConnection line = new ClientConnection(node);
        StandInLoops.connect(group, node.address(), new RedisDecoder(), new RedisBulkStringAggregator(), line)
                .addListener(f -> {
                    if (f.isSuccess() && habit == ClientBehaviour.ASK_LATE) {
                        after(random.nextInt(MAX_ASK_LATE_MS), () -> line.send(ClientBehaviour.PLAIN));
                    } else if (f.isSuccess()) {
                        line.send(habit);
                    } // refused: its node is down, and the client asks elsewhere
                });
    }

    private double drawClientTimeout(RequestClass type) {
        double chance = random.nextDouble();
        if (chance < 0.7) {
            return type.deadline();
        }
        return Math.ceil(chance < 0.9 ? type.deadline() * (0.1 + 0.9 * random.nextDouble()) : 20 + random.nextInt(80));
    }

    private ClientRequest newRequest(NodeSlot node) {
        int type = random.nextInt(settings.classes().size());
        ClientRequest request = new ClientRequest(
                String.format("%016x", ++lastRequestNumber),
                node.number,
                node.processNumber(),
                settings.classes().get(type),
                drawClientTimeout(settings.classes().get(type)));
        requests.add(request);
        return request;
    }

    private String command(ClientRequest request) {
        int spread = 1 + random.nextInt(Math.min(settings.nodes(), ScaleSettings.GATEWAYS_PER_CUSTOMER));
        int first = Math.floorMod(request.node - random.nextInt(spread), settings.nodes());
        boolean safe = request.requestClass.idempotency() == Idempotency.IDEMPOTENT;
        String list = "c=" + request.requestClass.name() + ",t="
                + (random.nextInt(4) == 0 ? SoakSettings.SMALL_PLAN : ScaleSettings.PLAN) + ",d="
                + (long) request.clientTimeout
                + (request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY ? ",k=" + request.id : "")
                + ",units=1,spread="
                + spread + ",first=" + first;
        int set = first * ScaleSettings.GATEWAYS_PER_CUSTOMER
                + spread
                - 1; // a customer has the same set of nodes at any time
        String customer = String.format("%016x", set * CUSTOMERS_PER_NODE_SET + random.nextInt(CUSTOMERS_PER_NODE_SET));
        return safe
                ? StandInLoops.command("CALL.GET", customer, request.id, list)
                : StandInLoops.command("CALL.POST", customer, request.id, list, "body");
    }

    /** One connection; its requests are answered in their order. */
    private final class ClientConnection extends SimpleChannelInboundHandler<RedisMessage> {
        private final NodeSlot node;
        private final ArrayDeque<ClientRequest> pendingRequests = new ArrayDeque<>();
        private Channel channel;
        private boolean closedByClient;
        private boolean reset;

        ClientConnection(NodeSlot node) {
            this.node = node;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        void send(ClientBehaviour habit) {
            if (!channel.isActive() || stopped) {
                return; // it has ended meanwhile
            }
            ClientRequest request = newRequest(node);
            pendingRequests.add(request);
            String command = command(request);
            switch (habit) {
                case SLOW -> writePieces(request, command, 1 + random.nextInt(MAX_PIECES));
                case PIPELINE -> {
                    StringBuilder text = new StringBuilder(command);
                    List<ClientRequest> all = new ArrayList<>(List.of(request));
                    for (int more = 1 + random.nextInt(MAX_PIPELINED - 1); more > 0; more--) {
                        ClientRequest next = newRequest(node);
                        pendingRequests.add(next);
                        all.add(next);
                        text.append(command(next));
                    }
                    write(text.toString(), all);
                }
                case LEAVE -> {
                    write(command, List.of(request));
                    after(request.clientTimeout * random.nextDouble(), () -> disconnect(request));
                }
                default -> write(command, List.of(request));
            }
        }

        private void write(String text, List<ClientRequest> whole) {
            channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), text)).addListener(f -> {
                if (f.isSuccess()) {
                    whole.forEach(this::onSent);
                }
            });
        }

        private void onSent(ClientRequest request) {
            request.sentAt = clock.now();
            after(request.clientTimeout + UNANSWERED_AFTER_MS, () -> onWaitOver(request));
        }

        /** Some pieces of a command, each after a pause. */
        private void writePieces(ClientRequest request, String text, int pieces) {
            if (pieces <= 1 || text.length() < 2) {
                write(text, List.of(request));
                return;
            }
            int cut = 1 + random.nextInt(text.length() - 1);
            write(text.substring(0, cut), List.of());
            after(random.nextInt(MAX_PIECE_PAUSE_MS), () -> {
                if (channel.isActive() && request.end == ClientRequest.End.OPEN) {
                    writePieces(request, text.substring(cut), pieces - 1);
                }
            });
        }

        /** The wait for the answers before one does not count. */
        private void onWaitOver(ClientRequest request) {
            if (request.end != ClientRequest.End.OPEN) {
                return;
            }
            double over = Math.max(request.deadline(), request.firstInLineAt) + UNANSWERED_AFTER_MS;
            if (pendingRequests.peek() == request && clock.now() >= over - 1) {
                end(request, ClientRequest.End.NO_ANSWER);
                closedByClient = true;
                channel.close();
            } else {
                after(UNANSWERED_AFTER_MS / 4, () -> onWaitOver(request));
            }
        }

        private void disconnect(ClientRequest request) {
            if (request.end == ClientRequest.End.OPEN) {
                closedByClient = true;
                channel.close();
            }
        }

        private void end(ClientRequest request, ClientRequest.End how) {
            request.end = how;
            request.endedAt = clock.now();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, RedisMessage answer) {
            ClientRequest request = pendingRequests.poll();
            if (request == null) {
                return; // told of its end while it rests
            }
            if (answer instanceof FullBulkStringRedisMessage value && !value.isNull()) {
                request.response = value.content().toString(StandardCharsets.US_ASCII);
                end(
                        request,
                        request.response.equals("made for " + request.id)
                                ? ClientRequest.End.SERVED
                                : ClientRequest.End.WRONG_VALUE);
            } else if (answer instanceof ErrorRedisMessage error) {
                request.response = error.content();
                end(
                        request,
                        request.response.startsWith("BUSY") ? ClientRequest.End.REFUSED : ClientRequest.End.FAILED);
            } else {
                request.response = answer.toString();
                end(request, ClientRequest.End.FAILED);
            }
            if (pendingRequests.isEmpty()) {
                idleConnections.get(node.number).add(this);
            } else {
                pendingRequests.peek().firstInLineAt = request.endedAt;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.get(node.number).remove(this);
            for (ClientRequest request : pendingRequests) {
                if (closedByClient) {
                    end(request, ClientRequest.End.CLIENT_LEFT);
                } else if (request.sentAt == Double.POSITIVE_INFINITY) {
                    end(request, ClientRequest.End.NOT_SENT);
                } else {
                    end(request, ClientRequest.End.CONNECTION_ENDED);
                    request.response = reset ? "reset" : "end";
                }
            }
            pendingRequests.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset = true;
            ctx.close();
        }
    }
}
