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
import quotagateway.scale.StandInLoops;

/**
 * The clients of all nodes, on one event loop: an open-loop load on connections that are kept and used again. Some
 * clients misbehave as {@link ClientBehaviour} says, and all go on using open connections while a node shuts down. The
 * requests with what became of them are kept for the {@link Oracle}.
 */
final class ClientFleet {
    /** A request without a response counts as unanswered so long after its client's timeout. */
    private static final double UNANSWERED_AFTER_MS = 800;

    private static final int MAX_PIECES = 4;
    private static final int MAX_PIECE_PAUSE_MS = 150;
    private static final int MAX_PIPELINED = 5;
    private static final int MAX_ASK_LATE_MS = 900;
    /** Connections that a node gets after SIGTERM, which send their request only later. */
    private static final int LATE_CONNECTIONS = 8;

    private static final int LATE_CONNECTIONS_WITHIN_MS = 330;
    private static final double NANOS_PER_MS = 1e6;
    /** The longest pause between two requests on a connection whose node shuts down. */
    private static final int MAX_PAUSE_IN_SHUTDOWN_MS = 100;

    private final EventLoopGroup group;
    private final RunClock clock;
    private final RequestGenerator generator;
    private final List<NodeSlot> nodes;
    private final List<ArrayDeque<ClientConnection>> idleConnections = new ArrayList<>();
    private final List<ClientRequest> requests = new ArrayList<>();
    /** Until then (ms of the run) a process of the node, by its number, shuts down, and may then be killed. */
    private final double[] shutsDownUntil;

    private final double earliestKillMs;
    private final SplittableRandom random;
    private final double meanPauseMs;
    private boolean stopped;

    /**
     * Clients that have not started.
     *
     * @param rate requests a second at each node
     */
    ClientFleet(
            EventLoopGroup group, RunClock clock, SoakSettings settings, List<NodeSlot> nodes, double rate, long seed) {
        this.group = group;
        this.clock = clock;
        this.nodes = nodes;
        random = new SplittableRandom(seed);
        generator = new RequestGenerator(settings, random);
        meanPauseMs = 1000 / rate;
        shutsDownUntil = new double[nodes.size()];
        earliestKillMs = settings.earliestKillMs();
        nodes.forEach(node -> idleConnections.add(new ArrayDeque<>()));
    }

    /** Begins to send requests to all nodes. */
    void start() {
        nodes.forEach(node -> group.execute(() -> scheduleNextRequest(node)));
    }

    /** Sends no more requests; responses to the pending ones are still taken. */
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

    private void after(double delayMs, Runnable action) {
        group.schedule(action, Math.round(delayMs * NANOS_PER_MS), TimeUnit.NANOSECONDS);
    }

    private void scheduleNextRequest(NodeSlot node) {
        if (stopped) {
            return;
        }
        sendRequest(node);
        after(-meanPauseMs * Math.log(1 - random.nextDouble()), () -> scheduleNextRequest(node));
    }

    /**
     * Connects some clients to a node that has just got SIGTERM, as a load balancer does until it knows, and has
     * clients send one request after another on each connection that stays open, up to the kill.
     */
    void onNodeTerminated(NodeSlot node) {
        group.execute(() -> {
            shutsDownUntil[node.number] = clock.now() + earliestKillMs;
            ArrayDeque<ClientConnection> idle = idleConnections.get(node.number);
            while (!idle.isEmpty()) {
                sendSoon(idle.poll());
            }
            for (int i = 0; i < LATE_CONNECTIONS && !stopped; i++) {
                after(random.nextInt(LATE_CONNECTIONS_WITHIN_MS), () -> connect(node, ClientBehaviour.ASK_LATE));
            }
        });
    }

    private void sendSoon(ClientConnection connection) {
        after(random.nextInt(MAX_PAUSE_IN_SHUTDOWN_MS), () -> connection.send(ClientBehaviour.PLAIN));
    }

    private void sendRequest(NodeSlot node) {
        ClientBehaviour behaviour = ClientBehaviour.draw(random);
        ClientConnection connection = behaviour == ClientBehaviour.ASK_LATE
                ? null
                : idleConnections.get(node.number).pollLast();
        if (connection != null) {
            connection.send(behaviour);
        } else if (node.mayConnect()) {
            connect(node, behaviour);
        }
    }

    private void connect(NodeSlot node, ClientBehaviour behaviour) {
        ClientConnection connection = new ClientConnection(node);
        StandInLoops.connect(group, node.address(), new RedisDecoder(), new RedisBulkStringAggregator(), connection)
                .addListener(f -> {
                    if (f.isSuccess() && behaviour == ClientBehaviour.ASK_LATE) {
                        after(random.nextInt(MAX_ASK_LATE_MS), () -> connection.send(ClientBehaviour.PLAIN));
                    } else if (f.isSuccess()) {
                        connection.send(behaviour);
                    } // a refused connection means that the node is down; the client would go to another one
                });
    }

    private ClientRequest newRequest(NodeSlot node) {
        ClientRequest request = generator.newRequest(node);
        requests.add(request);
        return request;
    }

    /** One connection of a client; responses come in the order of the requests. */
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

        void send(ClientBehaviour behaviour) {
            if (!channel.isActive() || stopped) {
                return; // the connection has ended meanwhile
            }
            ClientRequest request = newRequest(node);
            pendingRequests.add(request);
            String command = generator.command(request);
            switch (behaviour) {
                case SLOW -> writePieces(request, command, 1 + random.nextInt(MAX_PIECES));
                case PIPELINE -> {
                    StringBuilder text = new StringBuilder(command);
                    List<ClientRequest> all = new ArrayList<>(List.of(request));
                    for (int more = 1 + random.nextInt(MAX_PIPELINED - 1); more > 0; more--) {
                        ClientRequest next = newRequest(node);
                        pendingRequests.add(next);
                        all.add(next);
                        text.append(generator.command(next));
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

        private void write(String text, List<ClientRequest> completed) {
            channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), text)).addListener(f -> {
                if (f.isSuccess()) {
                    completed.forEach(this::onSent);
                }
            });
        }

        private void onSent(ClientRequest request) {
            request.sentAt = clock.now();
            after(request.clientTimeout + UNANSWERED_AFTER_MS, () -> onWaitOver(request));
        }

        /** Writes a command in pieces, with a pause after each. */
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

        /**
         * Gives up on a request without a response. Time in which it waited for responses to earlier requests of its
         * connection does not count.
         */
        private void onWaitOver(ClientRequest request) {
            if (request.end != ClientRequest.End.OPEN) {
                return;
            }
            double unansweredAt = Math.max(request.deadline(), request.firstInLineAt) + UNANSWERED_AFTER_MS;
            if (pendingRequests.peek() == request && clock.now() >= unansweredAt - 1) {
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

        private void end(ClientRequest request, ClientRequest.End end) {
            request.end = end;
            request.endedAt = clock.now();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, RedisMessage answer) {
            ClientRequest request = pendingRequests.poll();
            if (request == null) {
                return; // an idle connection is told that it will be closed
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
            if (pendingRequests.isEmpty() && clock.now() < shutsDownUntil[node.number]) {
                sendSoon(this);
            } else if (pendingRequests.isEmpty()) {
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
