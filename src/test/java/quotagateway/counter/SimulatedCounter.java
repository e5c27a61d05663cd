package quotagateway.counter;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import quotagateway.policy.api.CallOutcome;
import quotagateway.transport.Connector;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.PackedAddress;

/** A counter client on a simulated clock and network; the test opens, answers and ends its connections. */
final class SimulatedCounter implements EventLoopContext, CounterListener, Connector {
    static final double TIMEOUT_MS = 150;
    static final InetSocketAddress ADDRESS = PackedAddress.parse("127.0.0.1:1");
    static final InetSocketAddress OTHER_ADDRESS = PackedAddress.parse("127.0.0.1:2");

    private record Task(double due, long number, Runnable runnable) {}

    /** A connect whose outcome is still open. */
    record Attempt(
            InetSocketAddress to, double at, ChannelHandler handler, EmbeddedChannel channel, ChannelPromise promise) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::due).thenComparingLong(Task::number));
    private long number;
    private double now;
    /** Outcomes in their order, as text. */
    final List<String> outcomes = new ArrayList<>();
    /** Connects that have not come up or failed. */
    final List<Attempt> attempts = new ArrayList<>();
    /** Connections in the order in which they came up, ended ones too. */
    final List<EmbeddedChannel> connections = new ArrayList<>();

    final CounterClient client;

    SimulatedCounter(InetSocketAddress address) {
        client = new CounterClient(this, this, this, address, TIMEOUT_MS, 5);
    }

    /** A client whose four connections are up. */
    static SimulatedCounter connected() {
        SimulatedCounter simulated = new SimulatedCounter(ADDRESS);
        simulated.client.start();
        simulated.acceptAll();
        return simulated;
    }

    @Override
    public ChannelFuture connect(InetSocketAddress address, ChannelHandler handler) {
        EmbeddedChannel channel = new EmbeddedChannel(false, false);
        ChannelPromise promise = new DefaultChannelPromise(channel, ImmediateEventExecutor.INSTANCE);
        attempts.add(new Attempt(address, now, handler, channel, promise));
        return promise;
    }

    /** Lets all connects that are open come up. */
    void acceptAll() {
        while (!attempts.isEmpty()) {
            accept();
        }
    }

    /** Lets the oldest connect come up. */
    EmbeddedChannel accept() {
        Attempt attempt = attempts.remove(0);
        attempt.channel().pipeline().addLast(attempt.handler());
        try {
            attempt.channel().register();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
        connections.add(attempt.channel());
        attempt.promise().setSuccess();
        settle();
        return attempt.channel();
    }

    /** Lets the oldest connect fail. */
    void refuse() {
        attempts.remove(0).promise().setFailure(new ConnectException());
        settle();
    }

    /** What was written to a connection and not read by the test before. */
    static String written(EmbeddedChannel channel) {
        channel.runPendingTasks();
        StringBuilder text = new StringBuilder();
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            text.append(out.toString(StandardCharsets.US_ASCII));
            out.release();
        }
        return text.toString();
    }

    /** Sends bytes of the counter to a connection. */
    void reply(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        settle();
    }

    /** Ends a connection from the counter's side. */
    void end(EmbeddedChannel channel) {
        channel.close();
        settle();
    }

    /** Runs on to a time (ms). */
    void runTo(double time) {
        settle();
        while (!tasks.isEmpty() && tasks.peek().due <= time) {
            Task task = tasks.poll();
            now = Math.max(now, task.due);
            task.runnable.run();
            settle();
        }
        now = time;
    }

    private void settle() {
        connections.forEach(EmbeddedChannel::runPendingTasks);
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public Future<?> schedule(double delayMs, Runnable task) {
        tasks.add(new Task(now + Math.max(0, delayMs), number++, task));
        return null;
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
    public void logFailure(String operation, Throwable cause) {
        outcomes.add("failure " + operation);
    }

    @Override
    public void onCounterReply(long name, CallOutcome outcome, double tookMs, double total) {
        outcomes.add(name + " " + outcome + " " + tookMs + " " + total);
    }
}
