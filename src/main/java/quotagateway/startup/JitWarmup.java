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
 * Runs the code of an ordinary request before the gateway is ready, so that the JIT compiler has seen it: on a fraction
 * of a core, interpreted code makes the responses of the first seconds late. The warm-up uses a policy and a clock of
 * its own, and no sockets.
 */
public final class JitWarmup implements PolicyActions {
    /**
     * Number of requests of the warm-up. A restart waits for the warm-up, and after a mass kill few other gateways
     * carry the load meanwhile: 100 rounds kept 10 of 14 nodes unavailable for 0.6 s longer. With 2 rounds, the first 5
     * s of a run on 0.15 of a core were so slow that a tenth of the requests timed out. Most code runs several times a
     * round and so reaches the compiler's threshold of 200 calls; real requests warm up the rest.
     */
    private static final int ROUNDS = 40;
    /**
     * How long (ms) the warm-up takes at the most, of the 10 s (6 s in short runs) that a start may last. On a seventh
     * of a core, alongside other processes that start, all rounds would take longer, and a gateway with interpreted
     * code is better than none.
     */
    public static final double MAX_TIME_MS = 2500;

    private static final double NANOS_PER_MS = 1e6;
    private static final int ENDPOINTS = 8;
    private static final int CUSTOMERS = 97;
    private static final int CUSTOMER_DIGITS = 16;
    /** Time (ms) between two rounds on the virtual clock, and the duration of an attempt. */
    private static final double STEP_MS = 8;
    /** The most elements of an array, as on the real connections. */
    private static final int MAX_ELEMENTS = 16;

    private final PolicySettings settings;
    private final PolicyEvents policy;
    private final EmbeddedChannel clientChannel = new EmbeddedChannel();
    private final EmbeddedChannel endpointChannel = new EmbeddedChannel();
    private final Map<Long, Double> counterTotals = new HashMap<>();
    private final PriorityQueue<Double> timers = new PriorityQueue<>();
    private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();
    private double now = 1000;

    private JitWarmup(PolicySettings settings, PolicyFactory policyFactory) {
        this.settings = settings;
        RespCodec.addHandlers(clientChannel.pipeline(), MAX_ELEMENTS);
        RespCodec.addHandlers(endpointChannel.pipeline(), MAX_ELEMENTS);
        policy = policyFactory.create(settings, 1, now, this);
        List<EndpointDescriptor> endpoints = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new EndpointDescriptor("w" + i, i, settings.zone(), EndpointState.UP, "", 0, 1, 0));
        }
        policy.onEndpoints(now, endpoints, true);
    }

    /** Runs the warm-up. A failure is logged and ignored, as interpreted code is no reason not to start. */
    public static void run(PolicySettings settings, PolicyFactory policyFactory) {
        run(settings, policyFactory, () -> System.nanoTime() / NANOS_PER_MS);
    }

    static void run(PolicySettings settings, PolicyFactory policyFactory, DoubleSupplier clockMs) {
        try {
            double stopAtMs = clockMs.getAsDouble() + MAX_TIME_MS;
            JitWarmup warmup = new JitWarmup(settings, policyFactory);
            boolean hasRequests =
                    !settings.requestClasses().isEmpty() && !settings.plans().isEmpty();
            for (int i = 1; hasRequests && i <= ROUNDS && clockMs.getAsDouble() < stopAtMs; i++) {
                warmup.runRound(i);
            }
            warmup.close();
        } catch (RuntimeException e) {
            System.err.println("warm-up: " + e);
        }
    }

    private void close() {
        clientChannel.finishAndReleaseAll();
        endpointChannel.finishAndReleaseAll();
    }

    /** Runs one request from its bytes to its response, then the timers and events that have become due. */
    private void runRound(int number) {
        clientChannel.writeInbound(commandBytes(number));
        ArrayRedisMessage command = clientChannel.readInbound();
        ClientCommand parsed = ClientCommand.parse(command, settings);
        policy.onRequest(now, toIncomingRequest(number, parsed));
        writeAndRelease(
                endpointChannel, parsed.encodeForEndpoint(command, parsed.clientTimeoutMs(), endpointChannel.alloc()));
        endpointChannel.writeInbound(bytes("*3\r\n$5\r\nvalue\r\n$-1\r\n$9\r\nutil=0.61\r\n"));
        ArrayRedisMessage response = endpointChannel.readInbound();
        writeAndRelease(
                clientChannel, ReferenceCountUtil.retain(response.children().get(0)));
        writeAndRelease(clientChannel, new ErrorRedisMessage("BUSY 2000"));
        ReferenceCountUtil.release(response);
        ReferenceCountUtil.release(command);
        now += STEP_MS;
        fireDueTimers();
        runPendingEvents();
    }

    /** Fires only timers that exist at the call, as a new one may be due immediately. */
    private void fireDueTimers() {
        for (int remaining = timers.size(); remaining > 0 && timers.peek() <= now; remaining--) {
            timers.poll();
            policy.onTimer(now, 0);
        }
    }

    private void runPendingEvents() {
        for (int remaining = pendingEvents.size(); remaining > 0; remaining--) {
            pendingEvents.poll().run();
        }
    }

    private ByteBuf commandBytes(int number) {
        RequestClass requestClass =
                settings.requestClasses().get(number % settings.requestClasses().size());
        QuotaPlan plan = settings.plans().get(number % settings.plans().size());
        String verb = requestClass.idempotency() == Idempotency.IDEMPOTENT ? "CALL.GET" : "CALL.POST";
        String fields = "c=" + requestClass.name() + ",t=" + plan.name() + ",d=" + Math.round(requestClass.deadline())
                + ",k=" + number + ",units=1,spread=" + Math.min(2, settings.nodeCount()) + ",first=0";
        return bytes(encodeArray(verb, customer(number % CUSTOMERS), Integer.toHexString(number), fields));
    }

    private static IncomingRequest toIncomingRequest(int number, ClientCommand parsed) {
        return new IncomingRequest(
                number,
                parsed.requestClass(),
                parsed.plan(),
                parsed.customer(),
                parsed.clientTimeoutMs(),
                parsed.units(),
                parsed.gatewayCount(),
                parsed.firstGateway(),
                parsed.retry());
    }

    /**
     * Formats 16 hexadecimal digits without {@code Formatter}, whose locales are among the most expensive classes of a
     * start.
     */
    private static String customer(int number) {
        String hex = Integer.toHexString(number);
        return "0".repeat(CUSTOMER_DIGITS - hex.length()) + hex;
    }

    private static String encodeArray(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return text.toString();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private static void writeAndRelease(EmbeddedChannel channel, Object message) {
        channel.writeOutbound(message);
        for (Object written = channel.readOutbound(); written != null; written = channel.readOutbound()) {
            ReferenceCountUtil.release(written);
        }
    }

    // ---- actions of the policy: attempts succeed, the counter adds, timers use the virtual clock ----

    @Override
    public void sendAttempt(long requestId, String endpoint, double timeoutAtMs) {
        pendingEvents.add(
                () -> policy.onAttemptEnded(now, requestId, 0, CallOutcome.OK, STEP_MS, true, 0, EndpointPool.NO_LOAD));
    }

    @Override
    public void addToCounter(long name, double amount, double ttlMs) {
        double total = counterTotals.merge(name, amount, Double::sum);
        pendingEvents.add(() -> policy.onCounterReply(now, name, CallOutcome.OK, 1, total));
    }

    @Override
    public void scheduleTimer(double delayMs, long token) {
        timers.add(now + delayMs);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {}

    @Override
    public void reject(long requestId, double retryAfterMs) {}

    @Override
    public void fail(long requestId) {}

    @Override
    public void checkHealth(String endpoint) {}

    @Override
    public void subscribeToEndpoints() {}
}
