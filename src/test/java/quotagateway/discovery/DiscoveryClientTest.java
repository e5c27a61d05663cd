package quotagateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.Future;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.config.GatewayConfig;
import quotagateway.config.Json;
import quotagateway.node.NodeFixture;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.transport.Connector;
import quotagateway.transport.EventLoopContext;

/** On a simulated clock and network: changes are heard of in time, whatever became of the calls before. */
public class DiscoveryClientTest {
    /** A change counts as known after this (ms), less the grace period for a drain. */
    private static final double KNOWN_WITHIN_MS = 6000 - 250;

    /** How the agent and the network treat a call. */
    enum CallFate {
        ANSWERS,
        NO_CONNECTION,
        CONNECT_TIMEOUT,
        RESET,
        NO_ANSWER,
        HEAD,
        EMPTY_LINES,
        TRICKLE,
        HALF,
        REFUSAL,
        REFUSAL_OPEN,
        NO_END
    }

    /** The time between the empty lines of a watch. */
    private static final double KEEP_ALIVE_MS = 2000;

    private static final String HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

    /**
     * The node with its clock, the network, the agent, and a policy that repeats calls itself where it asks for lists.
     */
    public static final class World implements EventLoopContext, DiscoveryListener, Connector {
        private record Task(double due, long number, Runnable what) {}

        private final PriorityQueue<Task> tasks =
                new PriorityQueue<>(Comparator.comparingDouble(Task::due).thenComparingLong(Task::number));
        private final Map<EmbeddedChannel, CallFate> open = new LinkedHashMap<>();
        private final Random random = new Random(7);
        private final boolean policyAsks;
        final DiscoveryClient discovery;
        private double now;
        private double backoff = 1000;
        private long number;
        CallFate fate = CallFate.ANSWERS;
        /** How the next call alone is treated; null where it is as all others. */
        private CallFate nextFate;

        /** Calls that were begun. */
        int calls;

        private boolean news;
        private boolean silent;
        private double heardAt = Double.MAX_VALUE;
        private final List<String> events = new ArrayList<>();
        /** The entries of the list, or null for one. */
        private String hosts;

        public World(boolean policyAsks) {
            this.policyAsks = policyAsks;
            String asked = policyAsks ? "on_request" : "pushed";
            String config = """
                {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","name":"n","seed":"5",
                 "limits":{"memory_mb":32},"settings":{"rank":0,"group_size":1,"discovery":"%s",
                 "request_classes":[{"name":"r","effect":"read_like","aim":6,"hard_limit":9}],
                 "tariffs":[{"name":"p","per_second":8,"depth":8}]}}""".formatted(asked);
            discovery = new DiscoveryClient(this, this, this, GatewayConfig.of(json(config), Map.of()));
        }

        private static Json json(String text) {
            try {
                return Json.read(text);
            } catch (java.io.IOException e) {
                throw new IllegalArgumentException(e);
            }
        }

        public void to(double time) {
            while (!tasks.isEmpty() && tasks.peek().due <= time && heardAt == Double.MAX_VALUE) {
                Task task = tasks.poll();
                now = task.due;
                task.what.run();
                settle();
            }
            now = time;
        }

        /** Lets the channels run what they have set off, and answers what they ask. */
        private void settle() {
            for (EmbeddedChannel c : List.copyOf(open.keySet())) {
                c.runPendingTasks();
                StringBuilder asked = new StringBuilder();
                for (ByteBuf out = c.readOutbound(); out != null; out = c.readOutbound()) {
                    asked.append(out.toString(StandardCharsets.US_ASCII));
                    out.release();
                }
                if (!asked.isEmpty()) {
                    boolean watch = asked.indexOf("follow=1") > 0;
                    schedule(0, () -> answer(c, open.get(c), watch));
                }
                if (!c.isOpen()) {
                    open.remove(c);
                }
            }
        }

        @Override
        public ChannelFuture connect(InetSocketAddress to, ChannelHandler handler) {
            calls++;
            CallFate applied = nextFate == null ? fate : nextFate;
            nextFate = null;
            if (applied == CallFate.NO_CONNECTION || applied == CallFate.CONNECT_TIMEOUT) {
                ChannelPromise promise = new EmbeddedChannel().newPromise();
                schedule(
                        applied == CallFate.CONNECT_TIMEOUT ? DiscoveryClient.CONNECT_TIMEOUT_MS : 0,
                        () -> promise.setFailure(new ConnectException()));
                return promise;
            }
            EmbeddedChannel c = new EmbeddedChannel(handler);
            open.put(c, applied);
            schedule(0, () -> {});
            return c.newSucceededFuture();
        }

        private static void write(EmbeddedChannel c, String text) {
            if (c.isOpen()) {
                c.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
            }
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        /**
         * Text again and again, as long as the connection stands; a watch that has answered falls silent when told to.
         */
        private void keep(EmbeddedChannel c, double every, String text) {
            schedule(every, () -> {
                if (c.isOpen() && !(silent && every == KEEP_ALIVE_MS)) {
                    write(c, text);
                    keep(c, every, text);
                }
            });
        }

        private void answer(EmbeddedChannel c, CallFate applied, boolean watch) {
            String host = NodeFixture.entry(news ? "news" : "s", "127.0.0.1:9", "active");
            String list = NodeFixture.list(41, !watch, hosts == null ? host : hosts) + "\n";
            switch (applied == CallFate.NO_END && watch ? CallFate.ANSWERS : applied) {
                case ANSWERS -> {
                    write(c, HEAD + chunk(list) + (watch ? "" : "0\r\n\r\n"));
                    if (watch) {
                        keep(c, KEEP_ALIVE_MS, chunk("\n"));
                    }
                }
                case RESET -> c.close();
                case HEAD -> write(c, HEAD);
                case EMPTY_LINES -> {
                    write(c, HEAD); // a watch that says so has nothing to tell: that is for a list alone
                    keep(c, 50, watch ? "" : chunk("\n"));
                }
                case TRICKLE -> {
                    write(c, HEAD + chunk("{\"seq\":"));
                    keep(c, 50, chunk("1"));
                }
                case HALF -> write(c, HEAD + chunk(list.substring(0, list.length() / 4 * 3)));
                case REFUSAL -> write(c, "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n");
                case REFUSAL_OPEN -> {
                    write(c, "HTTP/1.1 503 Down\r\ncontent-length: 999999\r\n\r\n");
                    keep(c, 50, "x");
                }
                case NO_END -> write(c, HEAD + chunk(NodeFixture.list(41, true)));
                default -> {}
            }
        }

        @Override
        public double now() {
            return now;
        }

        @Override
        public Future<?> schedule(double delay, Runnable what) {
            tasks.add(new Task(now + Math.max(0, delay), number++, what));
            return null;
        }

        @Override
        public void onEndpoints(List<EndpointDescriptor> list, boolean whole) {
            if (list.stream().anyMatch(s -> s.id().equals("news"))) {
                heardAt = now;
            }
        }

        @Override
        public void onEndpointListStarted() {
            events.add("begins");
        }

        @Override
        public void onEndpointListCompleted() {
            events.add("ends");
        }

        @Override
        public void logNotice(String what) {
            events.add(what.substring(0, "discovery: the list names more than 4".length()));
        }

        /** Where lists are asked for the module asks again too, after pauses of up to 12 s. */
        @Override
        public void onDiscoveryFailed() {
            if (policyAsks) {
                schedule(backoff * (0.5 + random.nextDouble()), discovery::subscribe);
                backoff = Math.min(2 * backoff, 8000);
            }
        }

        @Override
        public void execute(Runnable task) {
            schedule(0, task);
        }

        @Override
        public void flushLater(Channel channel) {
            channel.flush();
        }

        @Override
        public void flush() {}

        @Override
        public void logFailure(String where, Throwable what) {}
    }

    /** The time (ms) until a change is heard of: calls of one fate for some time, one of another, then good ones. */
    private static double delay(boolean policyAsks, CallFate before, double lastingMs, boolean moved, CallFate next) {
        World w = new World(policyAsks);
        w.discovery.start(null);
        w.schedule(0, () -> {});
        w.to(3000);
        w.fate = before;
        if (before != CallFate.ANSWERS) {
            List.copyOf(w.open.keySet()).forEach(EmbeddedChannel::close);
        }
        w.to(3000 + Math.max(0, lastingMs - 200));
        if (moved) {
            w.discovery.reconnectTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), 2));
            w.settle();
        }
        w.to(3000 + lastingMs);
        w.fate = CallFate.ANSWERS;
        w.nextFate = next;
        w.news = true;
        w.silent = true; // the watch that stands, too
        w.to(30_000);
        return w.heardAt - 3000 - lastingMs;
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void changeIsHeardInTimeFromEveryState(boolean policyAsks) {
        double worst = 0;
        String state = "";
        for (CallFate before : CallFate.values()) {
            for (CallFate next : CallFate.values()) {
                for (int i = 0; i < 14; i++) {
                    double lastingMs = 457 * i;
                    double delay = delay(policyAsks, before, lastingMs, i % 4 == 3, next);
                    if (delay > worst) {
                        worst = delay;
                        state = before + " for " + lastingMs + ", then " + next;
                    }
                }
            }
        }
        assertTrue(worst <= KNOWN_WITHIN_MS, state + ": " + worst);
        assertTrue(worst > 3000, "the states are gone through: " + worst);
    }

    private static String hosts(int number) {
        return String.join(
                ",",
                java.util.stream.IntStream.range(0, number)
                        .mapToObj(i -> NodeFixture.entry("h" + i, "127.0.0.1:9", "active"))
                        .toList());
    }

    /** Only a list that has come to its end removes endpoints. */
    @Test
    void longListThatBreaksOffRemovesNothingAndIsAskedForAgain() {
        World w = new World(false);
        w.hosts = hosts(2500);
        w.fate = CallFate.HALF;
        w.discovery.start(null);
        w.to(70);
        assertEquals(List.of("begins"), w.events);
        w.fate = CallFate.ANSWERS;
        w.to(200);
        assertEquals(List.of("begins", "begins", "ends", "begins"), w.events, "and many changes drop nothing");
    }

    /** Completed by the old agent's end, the new agent's list would remove endpoints that it has yet to name. */
    @Test
    void ofTwoListsInPartsOnlyTheLastStartedRemovesEndpoints() {
        World w = new World(false);
        String list = NodeFixture.list(41, true, hosts(2500));
        int half = list.length() / 2;
        w.fate = CallFate.NO_ANSWER;
        w.discovery.start(null);
        w.to(1);
        EmbeddedChannel old = w.open.keySet().iterator().next();
        World.write(old, HEAD + World.chunk(list.substring(0, half)));
        w.discovery.reconnectTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), 2));
        w.settle();
        EmbeddedChannel next = List.copyOf(w.open.keySet()).get(1);
        World.write(next, HEAD + World.chunk(list.substring(0, half)));
        World.write(old, World.chunk(list.substring(half)));
        assertEquals(List.of("begins", "begins"), w.events);
        World.write(next, World.chunk(list.substring(half)));
        assertEquals(List.of("begins", "begins", "ends"), w.events);
    }

    /** The notice comes once; the watch goes on from the list, and its changes are heard of. */
    @Test
    void listBeyondTheMemoryBoundIsReportedOnceAndWatchedFrom() {
        World w = new World(false);
        w.hosts = hosts(42_000);
        w.discovery.start(null);
        w.to(100);
        w.hosts = null;
        w.news = true;
        List.copyOf(w.open.keySet()).forEach(EmbeddedChannel::close);
        w.to(400);
        assertEquals(List.of("begins", "discovery: the list names more than 4"), w.events.subList(0, 2));
        assertEquals(1, w.events.stream().filter(t -> t.startsWith("discovery")).count(), w.events.toString());
        assertFalse(w.events.contains("ends"));
        assertTrue(w.heardAt < 400, "the watch goes on");
    }

    /** An answer of the connection that was left says nothing of the agent's list now. */
    @Test
    void addressConfiguredAgainIgnoresTheConnectionOfItsFirstConfiguration() {
        World w = new World(false);
        String list = HEAD + World.chunk(NodeFixture.list(41, true, hosts(3)));
        w.fate = CallFate.NO_ANSWER;
        w.discovery.start(null);
        w.to(1);
        for (int port : new int[] {2, 1}) {
            w.discovery.reconnectTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            w.settle();
        }
        List<EmbeddedChannel> connections = List.copyOf(w.open.keySet());
        assertEquals(3, connections.size());
        World.write(connections.get(0), list);
        assertFalse(w.discovery.ready().isDone());
        assertTrue(connections.get(1).isOpen(), "it serves until the new one has sent a whole list");
        World.write(connections.get(2), list);
        assertTrue(w.discovery.ready().isDone());
        assertFalse(connections.get(0).isOpen());
        assertFalse(connections.get(1).isOpen());
    }
}
