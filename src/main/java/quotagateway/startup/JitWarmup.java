package quotagateway.startup;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.DoubleSupplier;
import quotagateway.client.ClientCommand;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicyEvents;
import quotagateway.policy.api.PolicyFactory;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.api.RequestClass;
import quotagateway.resp.RespCodec;
import quotagateway.upstream.EndpointPool;

/**
 * Runs the code of the ordinary path before the edge node is ready, so that the JVM has compiled it: on part
 * of a core the first seconds of cold code make answers late. A module of its own, no sockets, a own clock.
 */
public final class JitWarmup implements PolicyActions {
    /**
     * A restart waits for them, and after a mass kill few others carry the load meanwhile: 100 rounds kept
     * ten of 14 nodes away 0.6 s longer. 2 rounds left the first 5 s of a day on 0.15 of a core so cold that
     * a tenth timed out. Most code runs several times a round, and so to the compiler's 200 calls; real
     * requests warm the rest.
     */
    private static final int ROUNDS = 40;
    /**
     * Of the 10 s, and on short days 6 s, that a start may take, this (ms) is the most that goes here: on a
     * seventh of a core beside others that start it would be more, and a cold node is better than none.
     */
    public static final double MOST_TIME = 2500;

    private static final int SERVERS = 8;
    private static final int CUSTOMERS = 97;
    private static final double STEP = 8;
    /** Elements, as on the real connections. */
    private static final int MOST = 16;

    private final PolicySettings settings;
    private final PolicyEvents module;
    private final EmbeddedChannel client = new EmbeddedChannel();
    private final EmbeddedChannel server = new EmbeddedChannel();
    private final Map<Long, Double> totals = new HashMap<>();
    private final PriorityQueue<Double> timers = new PriorityQueue<>();
    private final ArrayDeque<Runnable> told = new ArrayDeque<>();
    private double now = 1000;

    private JitWarmup(PolicySettings settings, PolicyFactory maker) {
        this.settings = settings;
        RespCodec.addHandlers(client.pipeline(), MOST);
        RespCodec.addHandlers(server.pipeline(), MOST);
        module = maker.create(settings, 1, now, this);
        List<EndpointDescriptor> list = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            list.add(new EndpointDescriptor("w" + i, i, settings.zone(), EndpointState.UP, "", 0, 1, 0));
        }
        module.onEndpoints(now, list, true);
    }

    /** Cold code is no reason not to start: what goes wrong here is told and left. */
    public static void run(PolicySettings settings, PolicyFactory maker) {
        run(settings, maker, () -> System.nanoTime() / 1e6);
    }

    static void run(PolicySettings settings, PolicyFactory maker, DoubleSupplier clock) {
        try {
            double until = clock.getAsDouble() + MOST_TIME;
            JitWarmup warmup = new JitWarmup(settings, maker);
            boolean able =
                    !settings.requestClasses().isEmpty() && !settings.plans().isEmpty();
            for (int i = 1; able && i <= ROUNDS && clock.getAsDouble() < until; i++) {
                warmup.round(i);
            }
            warmup.close();
        } catch (RuntimeException e) {
            System.err.println("warm-up: " + e);
        }
    }

    private void close() {
        client.finishAndReleaseAll();
        server.finishAndReleaseAll();
    }

    private void round(int i) {
        RequestClass type =
                settings.requestClasses().get(i % settings.requestClasses().size());
        QuotaPlan plan = settings.plans().get(i % settings.plans().size());
        String verb = type.idempotency() == Idempotency.IDEMPOTENT ? "CALL.GET" : "CALL.POST";
        client.writeInbound(bytes(array(
                verb,
                customer(i % CUSTOMERS),
                Integer.toHexString(i),
                "c=" + type.name() + ",t=" + plan.name() + ",d=" + Math.round(type.deadline()) + ",k=" + i
                        + ",units=1,spread=" + Math.min(2, settings.nodeCount()) + ",first=0")));
        ArrayRedisMessage command = client.readInbound();
        ClientCommand call = ClientCommand.parse(command, settings);
        module.onRequest(
                now,
                new IncomingRequest(
                        i,
                        call.requestClass(),
                        call.plan(),
                        call.customer(),
                        call.clientTimeoutMs(),
                        call.units(),
                        call.gatewayCount(),
                        call.firstGateway(),
                        call.retry()));
        pass(server, call.encodeForEndpoint(command, call.clientTimeoutMs(), server.alloc()));
        server.writeInbound(bytes("*3\r\n$5\r\nvalue\r\n$-1\r\n$9\r\nutil=0.61\r\n"));
        ArrayRedisMessage value = server.readInbound();
        pass(client, ReferenceCountUtil.retain(value.children().get(0)));
        pass(client, new ErrorRedisMessage("BUSY 2000"));
        ReferenceCountUtil.release(value);
        ReferenceCountUtil.release(command);
        now += STEP;
        for (int n = timers.size(); n > 0 && timers.peek() <= now; n--) { // a new one may be due at once
            timers.poll();
            module.onTimer(now, 0);
        }
        for (int n = told.size(); n > 0; n--) {
            told.poll().run();
        }
    }

    /** 16 hex digits, without the formatter: its locales are among the dearest classes of a start. */
    private static String customer(int number) {
        String hex = Integer.toHexString(number);
        return "0".repeat(16 - hex.length()) + hex;
    }

    private static String array(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return text.toString();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private static void pass(EmbeddedChannel channel, Object message) {
        channel.writeOutbound(message);
        for (Object out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            ReferenceCountUtil.release(out);
        }
    }

    @Override
    public void sendAttempt(long id, String to, double until) {
        told.add(() -> module.onAttemptEnded(now, id, 0, CallOutcome.OK, STEP, true, 0, EndpointPool.NO_LOAD));
    }

    @Override
    public void addToCounter(long name, double amount, double keepFor) {
        double total = totals.merge(name, amount, Double::sum);
        told.add(() -> module.onCounterReply(now, name, CallOutcome.OK, 1, total));
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        timers.add(now + delay);
    }

    @Override
    public void cancelAttempt(long id, int attempt) {}

    @Override
    public void reject(long id, double retryAfter) {}

    @Override
    public void fail(long id) {}

    @Override
    public void checkHealth(String to) {}

    @Override
    public void subscribeToEndpoints() {}
}
