package quotagateway.upstream;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.redis.RedisMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import quotagateway.config.GatewayConfig;
import quotagateway.lifecycle.CloseReason;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.resp.ValueMemory;
import quotagateway.transport.EventLoopContext;

/**
 * The endpoints that the policy uses, with their connections, and the attempts and health checks on them. A connection
 * carries one request at a time: responses come in order, so a slow one would hold up those behind it, and to give it
 * up would end them all.
 *
 * <p>All methods but {@link #ready} are called on the event loop.
 */
public final class EndpointPool {
    /** The load report of an endpoint that has sent none. */
    public static final double[] NO_LOAD = new double[0];

    private static final double SWEEP_INTERVAL_MS = 500;
    /**
     * How long (ms) before the endpoints' idle limit a connection is closed. A request that is written as the endpoint
     * closes it is reset; a sweep, the network and a late loop may come between.
     */
    private static final double IDLE_LIMIT_MARGIN_MS = 3000;
    /** The least part of a short idle limit that is left by the margin. */
    private static final double MIN_IDLE_LIMIT_FRACTION = 0.4;
    /** What was seen of idle connections counts half after this (ms): endpoints' habits change over the day. */
    private static final double IDLE_TIMEOUT_HALF_LIFE_MS = 4000;

    private static final double HEALTH_CHECK_TIMEOUT_MS = 250;

    private final EventLoopContext loop;
    private final EndpointPoolListener listener;
    private final EndpointConnector connector;
    private final EndpointReplyParser replies;
    private final IdleTimeoutEstimator idleTimeout = new IdleTimeoutEstimator();
    private final double keepAliveMs;
    private final int maxConnections;
    private final ValueMemory responseMemory;
    private final Map<String, PooledEndpoint> endpoints = new HashMap<>();
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    /** Connections that are open or being opened. */
    private int connectionCount;
    /** The number of the whole list that came last or is coming. */
    private int listNumber;

    private boolean policyNotified;
    private Runnable onExhausted = () -> {};

    /**
     * Creates a pool without endpoints.
     *
     * @param maxConnections how many connections there may be, to all endpoints together
     * @param responseMemory for responses that arrive in several reads
     */
    public EndpointPool(
            EventLoopContext loop,
            EndpointPoolListener listener,
            EventLoopGroup group,
            GatewayConfig config,
            int maxConnections,
            ValueMemory responseMemory) {
        this(
                loop,
                listener,
                new SocketEndpointConnector(group, (int) config.connectTimeoutMs()),
                config,
                maxConnections,
                responseMemory);
    }

    EndpointPool(
            EventLoopContext loop,
            EndpointPoolListener listener,
            EndpointConnector connector,
            GatewayConfig config,
            int maxConnections,
            ValueMemory responseMemory) {
        this.loop = loop;
        this.listener = listener;
        this.maxConnections = maxConnections;
        this.responseMemory = responseMemory;
        keepAliveMs = config.keepAliveMs();
        this.connector = connector;
        replies = new EndpointReplyParser(
                loop, new LoadReportParser(config.settings().loadFields()));
    }

    /** Completed once a first connection to each endpoint of the policy's first choice has come up or failed. */
    public CompletableFuture<Void> ready() {
        return ready;
    }

    /** Sets the action that runs each time an attempt finds no connection, as all of them are in use. */
    public void onExhausted(Runnable action) {
        onExhausted = action;
    }

    /** Begins to look for idle connections to close; called once. */
    public void start() {
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
    }

    private void sweep() {
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep); // first, so that a fault doesn't end the sweeps
        idleTimeout.decay(Math.pow(0.5, SWEEP_INTERVAL_MS / IDLE_TIMEOUT_HALF_LIFE_MS));
        double idleLimitMs = Math.max(keepAliveMs * MIN_IDLE_LIMIT_FRACTION, keepAliveMs - IDLE_LIMIT_MARGIN_MS);
        double idleSinceMs = loop.now() - idleLimitMs;
        for (PooledEndpoint endpoint : endpoints.values()) {
            endpoint.closeIdleSinceBefore(idleSinceMs);
        }
    }

    // ---- the endpoints ----

    /** A whole list begins: endpoints that it doesn't name until it is completed are removed then. */
    public void onEndpointListStarted() {
        listNumber++;
    }

    public void onEndpointListCompleted() {
        for (PooledEndpoint endpoint : endpoints.values().toArray(new PooledEndpoint[0])) {
            if (!endpoint.isListedIn(listNumber)) {
                release(endpoint.id());
            }
        }
    }

    /** Changes of endpoints, of which those that are not in the pool mean nothing here. */
    public void onEndpoints(List<EndpointDescriptor> changes) {
        for (EndpointDescriptor change : changes) {
            PooledEndpoint endpoint = endpoints.get(change.id());
            if (endpoint != null) {
                endpoint.listedIn(listNumber);
                apply(change, endpoint);
            }
        }
    }

    private void apply(EndpointDescriptor change, PooledEndpoint endpoint) {
        if (change.state() == EndpointState.UP) {
            retain(change);
            return;
        }
        endpoint.retire();
        if (change.state() == EndpointState.REMOVED) {
            endpoints.remove(change.id());
        }
    }

    /** The policy has heard of a list, and has told which of its endpoints it uses. */
    public void onPolicyNotified() {
        policyNotified = true;
        completeReady();
    }

    private void completeReady() {
        if (!ready.isDone() && policyNotified && endpoints.values().stream().noneMatch(PooledEndpoint::isConnecting)) {
            ready.complete(null);
        }
    }

    /** Takes an endpoint into use. A connection is made at once, for the first request to find. */
    public void retain(EndpointDescriptor descriptor) {
        PooledEndpoint endpoint = endpoints.get(descriptor.id());
        if (endpoint == null || endpoint.address() != descriptor.address()) {
            if (endpoint != null) {
                endpoint.retire();
            }
            endpoint = new PooledEndpoint(this, loop, descriptor);
            endpoints.put(descriptor.id(), endpoint);
        }
        endpoint.listedIn(listNumber);
        endpoint.use(descriptor);
    }

    /** Takes an endpoint out of use and forgets it; what is in flight there may end. */
    public void release(String id) {
        PooledEndpoint endpoint = endpoints.remove(id);
        if (endpoint != null) {
            endpoint.retire();
        }
    }

    /** Ends the attempts that wait for a connection to an endpoint, and closes idle ones; it stays in use. */
    public void withdraw(String id) {
        PooledEndpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            endpoint.withdraw();
        }
    }

    /** What is known of an endpoint, or null where it is not in the pool. */
    public EndpointDescriptor descriptor(String id) {
        PooledEndpoint endpoint = endpoints.get(id);
        return endpoint == null ? null : endpoint.descriptor();
    }

    // ---- attempts ----

    /** Sends an attempt, or has it wait for a connection. Its request is told how it ends, and never from in here. */
    public void send(Attempt attempt) {
        PooledEndpoint endpoint = endpoints.get(attempt.endpoint());
        if (endpoint == null || !endpoint.isInUse()) {
            endLater(attempt, CallOutcome.NO_CONNECTION);
        } else if (!endpoint.writeOnIdleConnection(attempt)) {
            sendWithoutIdleConnection(endpoint, attempt);
        }
    }

    private void sendWithoutIdleConnection(PooledEndpoint endpoint, Attempt attempt) {
        if (endpoint.hasIdleConnection()) { // one that rests is ready sooner than a new one
            endpoint.addWaiting(attempt);
            endpoint.serveWaitingAfterRest();
        } else if (connectionCount < maxConnections || closeOneIdle()) {
            endpoint.addWaiting(attempt);
            connect(endpoint);
        } else {
            endLater(attempt, CallOutcome.NO_CONNECTION);
            onExhausted.run();
        }
    }

    /** Asks an endpoint for its load; the listener is told of the reply, or that none came in time. */
    public void checkHealth(String id) {
        Attempt check = Attempt.healthCheck(id, loop.now());
        loop.schedule(HEALTH_CHECK_TIMEOUT_MS, () -> abandon(check, CallOutcome.TIMEOUT));
        send(check);
    }

    /** Stops waiting for an attempt. One that was not written whole cannot have been executed. */
    public void abandon(Attempt attempt, CallOutcome outcome) {
        if (attempt.isEnded()) {
            return;
        }
        EndpointConnection connection = attempt.connection();
        boolean neverReached = !attempt.isWritten() && outcome == CallOutcome.TIMEOUT;
        end(attempt, EndpointReply.of(neverReached ? CallOutcome.NO_CONNECTION : outcome));
        if (connection != null) {
            connection.abandonAttempt();
            return;
        }
        PooledEndpoint endpoint = endpoints.get(attempt.endpoint());
        if (endpoint != null) {
            endpoint.removeWaiting(attempt);
        }
    }

    /** Ends an attempt that is not written whole yet, and so has not begun at its endpoint. */
    public void cancelUnwritten(Attempt attempt) {
        if (!attempt.isWritten()) {
            abandon(attempt, CallOutcome.NOT_SENT);
        }
    }

    /** Parses the reply to an attempt or a health check; null where it is in none of the protocol's forms. */
    EndpointReply parseReply(Attempt attempt, RedisMessage message) {
        return attempt.isHealthCheck() ? replies.parseHealthCheck(message) : replies.parseResponse(message);
    }

    /** Ends an attempt or a health check in a later round of the loop: what is deciding on it now goes first. */
    void endLater(Attempt attempt, CallOutcome outcome) {
        loop.execute(() -> end(attempt, EndpointReply.of(outcome)));
    }

    /** Ends an attempt or a health check; one that has ended stays as it is. */
    void end(Attempt attempt, EndpointReply reply) {
        if (attempt.isEnded()) {
            return;
        }
        attempt.end();
        if (attempt.isHealthCheck()) {
            listener.onHealthCheck(attempt.endpoint(), reply.outcome(), loop.now() - attempt.sentAt(), reply.load());
        } else {
            attempt.request().onAttemptEnded(attempt, reply.outcome(), reply.value(), reply.load());
        }
    }

    // ---- connections ----

    /** At the limit an idle connection to another endpoint is closed for a new one; false where none is idle. */
    private boolean closeOneIdle() {
        for (PooledEndpoint endpoint : endpoints.values()) {
            if (endpoint.closeOneIdle(CloseReason.ROOM)) {
                return true;
            }
        }
        return false;
    }

    /** Connects to an endpoint. Ahead of any attempt there is none made at the limit: attempts go first. */
    void connect(PooledEndpoint endpoint) {
        if (connectionCount >= maxConnections && !endpoint.hasWaiting()) {
            return;
        }
        EndpointConnection connection =
                new EndpointConnection(this, endpoint, loop, new ConnectionUsage(idleTimeout), responseMemory);
        endpoint.onConnecting();
        connectionCount++;
        connector.connect(endpoint.address(), connection).addListener(connected -> {
            if (connected.isSuccess()) {
                endpoint.onConnected(connection);
            } else {
                connectionCount--;
                endpoint.onConnectFailed();
            }
            completeReady();
            loop.flush();
        });
    }

    /** A connection that had come up has ended. */
    void onClosed(EndpointConnection connection) {
        connectionCount--;
        PooledEndpoint endpoint = connection.endpoint();
        listener.onEndpointConnectionClosed(endpoint.id(), connection.closeReason());
        endpoint.onClosed(connection);
    }
}
