package quotagateway.counter;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import quotagateway.policy.api.CallOutcome;
import quotagateway.transport.ConfiguredAddress;
import quotagateway.transport.Connector;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.ExponentialBackoff;
import quotagateway.transport.SocketConnector;

/**
 * Calls to the shared counter over a few connections. A name keeps to one connection, so the replies to its calls come
 * in the order of the calls. Each call ends with one outcome at the listener, after the counter's timeout at the
 * latest. All methods are called on the event loop.
 */
public final class CounterClient {
    private static final int CONNECTIONS = 4;
    private static final int CONNECT_TIMEOUT_MS = 1500;
    /** How often (ms) connections are checked for life. */
    private static final double CHECK_INTERVAL_MS = 200;

    private final EventLoopContext loop;
    private final CounterListener listener;
    private final Connector connector;
    private final double timeoutMs;
    private final SplittableRandom random;
    private final CounterConnection[] connections = new CounterConnection[CONNECTIONS];
    /** Connections to a new address, each until it takes the place of the one to the old address. */
    private final CounterConnection[] successors = new CounterConnection[CONNECTIONS];
    /** Calls in the order in which they time out, until they are completed and at the front. */
    private final ArrayDeque<PendingCall> timeouts = new ArrayDeque<>();

    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private ConfiguredAddress address;
    private boolean started;
    private boolean timeoutTimerRunning;

    /**
     * Makes a client that is idle until {@link #start}; its connections are on the group's loop.
     *
     * @param address where the counter listens; null for none, until {@link #reconnectTo} names one
     * @param timeoutMs how long a call may take
     */
    public CounterClient(
            EventLoopContext loop,
            CounterListener listener,
            EventLoopGroup group,
            InetSocketAddress address,
            double timeoutMs,
            long seed) {
        this(loop, listener, new SocketConnector(group, CONNECT_TIMEOUT_MS), address, timeoutMs, seed);
    }

    CounterClient(
            EventLoopContext loop,
            CounterListener listener,
            Connector connector,
            InetSocketAddress address,
            double timeoutMs,
            long seed) {
        this.loop = loop;
        this.listener = listener;
        this.connector = connector;
        this.address = ConfiguredAddress.initial(address);
        this.timeoutMs = timeoutMs;
        random = new SplittableRandom(seed);
        if (address == null) {
            ready.complete(null);
        }
    }

    /** Completes when all connections are up, or at once where no counter is configured. */
    public CompletableFuture<Void> ready() {
        return ready;
    }

    /** Opens the connections, where a counter is configured; called once. */
    public void start() {
        started = true;
        if (address.address() != null) {
            openConnections();
        }
    }

    private void openConnections() {
        for (int i = 0; i < CONNECTIONS; i++) {
            connections[i] = new CounterConnection(loop, this, address);
        }
        for (CounterConnection connection : connections) {
            connection.connect();
        }
        loop.schedule(CHECK_INTERVAL_MS, this::checkConnections);
    }

    /**
     * Moves to another counter; null changes nothing. The connections to the old one serve until the new ones are up,
     * and what was called on them may still be answered. Before the start only the address is noted.
     */
    public void reconnectTo(InetSocketAddress newAddress) {
        if (newAddress == null || newAddress.equals(address.address())) {
            return;
        }
        boolean first = address.address() == null;
        address = address.replacedBy(newAddress);
        if (!started) {
            return;
        }
        if (first) {
            openConnections();
        } else {
            openSuccessors();
        }
    }

    private void openSuccessors() {
        for (int i = 0; i < CONNECTIONS; i++) {
            if (successors[i] != null) {
                successors[i].closeAfterReplies();
            }
            successors[i] = new CounterConnection(loop, this, address);
            successors[i].connect();
        }
    }

    /**
     * The connection to use at an index. Its successor takes over here, once that is up and no call on the old one
     * waits for an outcome: the replies to a name's calls come in the order of the calls.
     */
    private CounterConnection connectionAt(int index) {
        CounterConnection successor = successors[index];
        if (successor != null && successor.isConnected() && !connections[index].hasOpenCalls()) {
            CounterConnection replaced = connections[index];
            connections[index] = successor;
            successors[index] = null;
            replaced.closeAfterReplies();
        }
        return connections[index];
    }

    /**
     * Adds an amount to a name on the counter. The outcome comes to the listener, never before this method returns.
     *
     * @param ttlMs how long the counter keeps the name, where this call creates it
     */
    public void add(long name, double amount, double ttlMs) {
        CounterConnection connection =
                address.address() == null ? null : connectionAt((int) Math.floorMod(name, (long) CONNECTIONS));
        if (connection == null || !connection.acceptsCalls()) {
            loop.execute(() -> listener.onCounterReply(name, CallOutcome.NO_CONNECTION, 0, 0));
            return;
        }
        PendingCall call = PendingCall.add(connection, name, loop.now(), CounterProtocol.add(name, amount, ttlMs));
        connection.send(call);
        timeouts.add(call);
        if (!timeoutTimerRunning) {
            timeoutTimerRunning = true;
            loop.schedule(timeoutMs, this::expireCalls);
        }
    }

    /** One timer serves all calls, as they have one timeout: with one each, replies would wake the loop once more. */
    private void expireCalls() {
        while (!timeouts.isEmpty() && (timeouts.peek().isCompleted() || isExpired(timeouts.peek()))) {
            PendingCall call = timeouts.poll();
            CounterConnection connection = call.connection();
            if (!call.isCompleted() && connection.hasPartialReply()) {
                connection.failReplies(); // part of a reply, and no more of it
            }
            complete(call, connection.removeQueued(call) ? CallOutcome.NO_CONNECTION : CallOutcome.TIMEOUT);
        }
        timeoutTimerRunning = !timeouts.isEmpty();
        if (timeoutTimerRunning) {
            loop.schedule(timeouts.peek().sentAt() + timeoutMs - loop.now(), this::expireCalls);
        }
    }

    private boolean isExpired(PendingCall call) {
        return call.sentAt() + timeoutMs <= loop.now();
    }

    private void checkConnections() {
        loop.schedule(CHECK_INTERVAL_MS, this::checkConnections);
        for (int i = 0; i < CONNECTIONS; i++) {
            connectionAt(i).checkLiveness();
        }
    }

    // ---- for the connections ----

    Connector connector() {
        return connector;
    }

    /** Whether an address is that of the newest configuration. */
    boolean isCurrent(ConfiguredAddress candidate) {
        return address.isSameGeneration(candidate);
    }

    /** The time (ms) until a connection is opened anew. */
    double nextReconnectDelayMs(ExponentialBackoff backoff) {
        return backoff.nextJitteredMs(random);
    }

    /** A connection is up. */
    void onConnected() {
        for (CounterConnection connection : connections) {
            if (!connection.isConnected()) {
                return;
            }
        }
        ready.complete(null);
    }

    /** Ends a call without a total, unless it has an outcome already. */
    void complete(PendingCall call, CallOutcome outcome) {
        report(call, outcome, 0);
    }

    /** Ends a call with the new total of its name, unless it has an outcome already. */
    void completeWithTotal(PendingCall call, double total) {
        report(call, CallOutcome.OK, total);
    }

    private void report(PendingCall call, CallOutcome outcome, double total) {
        if (call.complete()) {
            listener.onCounterReply(call.name(), outcome, loop.now() - call.sentAt(), total);
        }
    }
}
