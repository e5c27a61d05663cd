package quotagateway.discovery;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import quotagateway.config.CachedEndpointList;
import quotagateway.config.GatewayConfig;
import quotagateway.log.NodeEvent;
import quotagateway.log.NodeEvent.DiscoveryCall.Step;
import quotagateway.transport.ConfiguredAddress;
import quotagateway.transport.Connector;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.SocketConnector;

/**
 * Keeps the list of endpoints up to date: it begins with the list that was saved, asks the discovery agent for the
 * whole one, and then watches its changes. This class decides when the next call is made and where to; a call on its
 * connection is a {@link DiscoveryConnection}, its deadlines are a {@link WatchTimeout}. All methods are called on the
 * event loop.
 */
public final class DiscoveryClient {
    /** No list is known that a watch could go on from, so the whole list is asked for. */
    static final long NO_VERSION = -1;
    /** How often (ms) the deadline of the connection is looked at. */
    private static final double CHECK_INTERVAL_MS = 100;
    /**
     * A connection that is not up by then has failed. The agent is on this machine: where the first packet is lost, a
     * new connection is quicker than TCP's own repetition after 1 s.
     */
    static final int CONNECT_TIMEOUT_MS = 500;
    /** A long list is read in pieces of this size, some 0.3 ms of parsing each, so that requests come between them. */
    private static final int READ_SIZE_BYTES = 16 << 10;

    private enum State {
        /** There is no policy yet that could be given a list: calls are made from {@link #start} on. */
        NOT_STARTED,
        /** A call has failed or ended, and a timer or {@link #subscribe} makes the next. */
        BACKING_OFF,
        CONNECTING,
        CONNECTED
    }

    private final EventLoopContext loop;
    private final DiscoveryListener listener;
    private final Connector connector;
    private final SplittableRandom random;
    private final DiscoveryBackoff backoff;
    private final EndpointListForwarder lists;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    /** Open connections to addresses that were replaced: they serve until the new one has sent a whole list. */
    private final List<DiscoveryConnection> replacedConnections = new ArrayList<>();

    private ConfiguredAddress address;
    private State state = State.NOT_STARTED;
    /** The connection to {@link #address}; null unless connected. */
    private DiscoveryConnection connection;

    /** Whether one discovery answers all gateways, each by its own calls; else an agent does, on this machine. */
    private final boolean discoveryIsShared;

    private long version = NO_VERSION;
    /** Whether the last call was turned away by a discovery that has too many; until the next one is made. */
    private boolean turnedAway;
    /** The number of the last backoff: the timer of an earlier one makes no call any more. */
    private int backoffNumber;

    /** Makes a client that is idle until {@link #start}; its connections are on the group's loop. */
    public DiscoveryClient(
            EventLoopContext loop, DiscoveryListener listener, EventLoopGroup group, GatewayConfig config) {
        this(loop, listener, new SocketConnector(group, CONNECT_TIMEOUT_MS).withReadSize(READ_SIZE_BYTES), config);
    }

    DiscoveryClient(EventLoopContext loop, DiscoveryListener listener, Connector connector, GatewayConfig config) {
        this.loop = loop;
        this.listener = listener;
        this.connector = connector;
        address = ConfiguredAddress.initial(config.discoveryAddress());
        random = new SplittableRandom(config.seed());
        backoff = new DiscoveryBackoff(random);
        discoveryIsShared = config.settings().mustSubscribe();
        lists = new EndpointListForwarder(loop, listener, this, config.maxEndpoints());
    }

    /** Completes when the agent itself has sent a list; the saved one does not count. */
    public CompletableFuture<Void> ready() {
        return ready;
    }

    /**
     * Reads the saved list and makes the first call.
     *
     * @param saved what an earlier process knew: perhaps old, it serves until the agent answers; null for none
     */
    public void start(CachedEndpointList saved) {
        state = State.BACKING_OFF;
        if (saved != null) {
            readSaved(saved);
        }
        connect();
        checkDeadline();
    }

    /** The version of the saved list is of use only to the agent that the node was started with. */
    private void readSaved(CachedEndpointList saved) {
        try {
            saved.read(lists.newSource(ConfiguredAddress.initial(address.address()))
                    .parser());
        } catch (IOException | RuntimeException e) {
            loop.logFailure("cached endpoint list", e); // the agent has another
        }
    }

    /** Makes the next call now, unless one is being made, a watch is open or discovery has turned the last one away. */
    public void subscribe() {
        if (!turnedAway) {
            connect();
        }
    }

    /**
     * Moves to another agent. Versions belong to an agent, so the new one is asked for its whole list; until that has
     * come, the connection to the old one stays open.
     */
    public void reconnectTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address.address())) {
            return;
        }
        address = address.replacedBy(newAddress);
        logStep(address, Step.ADDRESS_CHANGED);
        version = NO_VERSION;
        backoff.reset();
        if (connection != null) {
            replacedConnections.add(connection);
            connection = null;
        }
        if (state != State.NOT_STARTED) {
            state = State.BACKING_OFF;
            connect();
        }
    }

    private void checkDeadline() {
        loop.schedule(CHECK_INTERVAL_MS, this::checkDeadline);
        if (connection != null && loop.now() > connection.deadline()) {
            logStep(address, Step.TIMED_OUT);
            connection.close();
        }
    }

    private void connect() {
        if (state != State.BACKING_OFF) {
            return;
        }
        state = State.CONNECTING;
        turnedAway = false;
        ConfiguredAddress target = address;
        connector
                .connect(target.address(), new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), newConnection(target));
                    }
                })
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        onConnectFailed(target);
                    }
                });
    }

    private DiscoveryConnection newConnection(ConfiguredAddress target) {
        return new DiscoveryConnection(loop, this, lists.newSource(target), random);
    }

    private void onConnectFailed(ConfiguredAddress target) {
        logStep(target, Step.CONNECT_FAILED);
        if (isCurrent(target)) {
            backOff();
        }
    }

    private void backOff() {
        state = State.BACKING_OFF;
        int number = ++backoffNumber;
        double delayMs = turnedAway ? backoff.nextOverloadDelayMs() : backoff.nextDelayMs();
        loop.schedule(delayMs, () -> {
            if (number == backoffNumber) {
                connect();
            }
        });
        listener.onDiscoveryFailed();
        loop.flush();
    }

    // ---- from connections and their lists ----

    /** Whether an address is that of the newest configuration. */
    boolean isCurrent(ConfiguredAddress source) {
        return address.isSameGeneration(source);
    }

    /** The version of the last list or change of the current address, or {@link #NO_VERSION}. */
    long version() {
        return version;
    }

    /** How long (ms) the call that is made now may take to answer. */
    double nextAnswerTimeoutMs() {
        return backoff.nextAnswerTimeoutMs();
    }

    /** A connection to the current address is up. */
    void onConnected(DiscoveryConnection opened) {
        state = State.CONNECTED;
        connection = opened;
    }

    /** The agent of the current address has answered: should the call end, the next is made at once. */
    void onAnswered() {
        backoff.reset();
        ready.complete(null);
    }

    /**
     * A call was refused: discovery has too many, or does not know the version any more and would refuse a watch from
     * it for ever.
     */
    void onRefused(ConfiguredAddress source, HttpResponseStatus status) {
        logStep(source, Step.REJECTED);
        if (!isCurrent(source)) {
            return;
        }
        turnedAway = discoveryIsShared && isOverload(status);
        version = turnedAway ? version : NO_VERSION;
    }

    private static boolean isOverload(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                || status.codeClass() == HttpStatusClass.SERVER_ERROR;
    }

    /** A list or change has ended; see {@link EndpointListHandler#onListEnded}. */
    void onListEnded(ConfiguredAddress source, double listVersion, boolean complete) {
        if (!isCurrent(source)) {
            return;
        }
        version = Double.isNaN(listVersion) ? version : (long) listVersion;
        logStep(source, complete ? Step.LIST_RECEIVED : Step.CHANGES_RECEIVED);
        if (complete) {
            List<DiscoveryConnection> closing = List.copyOf(replacedConnections); // each takes itself off the list
            replacedConnections.clear();
            closing.forEach(DiscoveryConnection::close);
        }
    }

    /** A connection that was up has ended. */
    void onDisconnected(DiscoveryConnection closed) {
        replacedConnections.remove(closed);
        logStep(closed.source(), Step.CLOSED);
        if (closed == connection) {
            connection = null;
            backOff();
        }
    }

    /** Notes a step of a call in the event log. */
    void logStep(ConfiguredAddress source, Step step) {
        listener.logEvent(new NodeEvent.DiscoveryCall(source.address(), step, version));
    }
}
