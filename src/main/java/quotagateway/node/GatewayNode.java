package quotagateway.node;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import quotagateway.admin.AdminOperations;
import quotagateway.admin.AdminServer;
import quotagateway.admin.CordonResult;
import quotagateway.admin.Metrics;
import quotagateway.client.ClientCommand;
import quotagateway.client.ClientListener;
import quotagateway.client.ClientRequestHandler;
import quotagateway.client.MalformedCommandException;
import quotagateway.client.ResponseSlot;
import quotagateway.config.GatewayConfig;
import quotagateway.counter.CounterClient;
import quotagateway.counter.CounterListener;
import quotagateway.discovery.DiscoveryClient;
import quotagateway.discovery.DiscoveryListener;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.Invariant;
import quotagateway.lifecycle.NodeState;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.lifecycle.SendDenial;
import quotagateway.log.EventLog;
import quotagateway.log.NodeEvent;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicyEvents;
import quotagateway.policy.api.PolicyFactory;
import quotagateway.startup.Readiness;
import quotagateway.startup.StartupTimeline;
import quotagateway.streaming.RequestBody;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.Transport;
import quotagateway.upstream.Attempt;
import quotagateway.upstream.EndpointPool;
import quotagateway.upstream.EndpointPoolListener;

/**
 * One real edge node: clock, timers and the table of requests, between the sockets and the decision module.
 * All of it runs on one event loop thread, the module too. It decides nothing.
 */
public final class GatewayNode
        implements PolicyActions,
                EventLoopContext,
                DiscoveryListener,
                ClientRequestHandler,
                EndpointPoolListener,
                CounterListener,
                AdminOperations {

    /** Off a client's wait (ms), so that an answer at the end of it is back in time. */
    private static final double WAY_BACK = 10;
    /** The end of the client's wait has been told to the module; it answers by then (ms), or we do. */
    private static final double LAST_WORD = 8;
    /** A loop that is held up by its own work is waited for no longer than this (ms) past the waits. */
    private static final long LOOP_LATE = 1000;
    /** New connections go on coming for up to 0.4 s after SIGTERM. */
    private static final long STAY_OPEN = 450;

    private static final long LISTEN_ON = 600;
    /** A process that this one replaces has ended by so long (ms) after its earliest kill. */
    private static final double REPLACED_ENDS = 1000;
    /** An end that slow clients hold up comes at the latest so long (ms) after all answers were due. */
    private static final double LAST_END = 30_000;
    /**
     * Of the sockets that may be held: files, counter, discovery and the loop's own take some, and a new
     * version that comes up beside this one has to find its part free. Clients need up to a third.
     */
    private static final double CLIENTS = 0.55;

    private static final double SERVERS = 0.25;
    /** A new version takes what true clients need, until the old one's have gone; a tenth shut them out. */
    private static final double CLIENTS_BESIDE = 0.34;
    /**
     * What the process holds itself, at the most: 24 files of the JVM, its loop and its state, the listener,
     * 8 counter lines while it moves, 5 calls to discovery (a move, and old ones that end) and 2 to spare.
     */
    private static final int OWN = 40;

    private static final int OWN_CONTROL = AdminServer.MAX_CONNECTIONS + 1;
    /** What all held requests' values may take (bytes) before clients are read no further. */
    private static final long HELD = 8L << 20;
    /** A timer on which the module failed comes once more after this (ms). */
    private static final double TIMER_AGAIN = 20;
    /** While the node ends, it looks this often (ms) whether all has ended. */
    private static final double END_LOOK = 5;
    /** A timer later than this (ms) is told in the event log. */
    private static final double LATE = 50;
    /** The log tells so many failures; a flood would only cost. */
    private static final int LOGGED = 200;
    /** Longest wait (ms) that a client may name: past that its request is malformed. */
    private static final double LONGEST = 3_600_000;

    private final GatewayConfig config;
    private final PolicyFactory policyFactory;
    private final EventLoopGroup group = Transport.loop();
    private final long startedNanos = System.nanoTime();
    private final double startedMs = System.currentTimeMillis();
    private final LongObjectHashMap<ActiveRequest> requests = new LongObjectHashMap<>();
    private final Set<String> ids = new HashSet<>();
    private final Set<Channel> unflushedChannels = new LinkedHashSet<>();
    private final ClientListener clients;
    private final EndpointPool endpoints;
    private final CounterClient counter;
    private final DiscoveryClient discovery;
    private final AdminServer admin;
    private final ProcessHandover handover;
    private final CordonStore cordons;
    private final Metrics metrics;
    private final EventLog events = new EventLog(System.err);
    private final LifecycleGuard guard;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private PolicyEvents policy;
    private long lastId;
    /** Requests taken and not ended: fewer than the table has, as attempts may outlive their request. */
    private int openRequests;

    private long bufferedBytes;
    private int logged;
    /** When (ms) the next look at whether all has ended is due. */
    private double lookDue;

    private volatile SocketAddress listenAddress;
    private volatile SocketAddress adminAddress;
    /** Set at SIGTERM: by then (ms) all is answered, as the process may be killed right after. */
    private volatile double endsAt = Double.MAX_VALUE;

    public GatewayNode(GatewayConfig config, PolicyFactory maker) {
        this.config = config;
        this.policyFactory = maker;
        guard = new LifecycleGuard(config.settings(), this::violated);
        clients = new ClientListener(this, this, clientsOf(CLIENTS));
        endpoints = new EndpointPool(this, this, group, config, (int) (config.maxSockets() * SERVERS));
        counter = new CounterClient(
                this,
                this,
                group,
                config.counterAddress(),
                config.settings().capabilities().counterTimeout(),
                config.seed());
        discovery = new DiscoveryClient(this, this, DiscoveryClient.sockets(group), config);
        admin = new AdminServer(this, this);
        handover = new ProcessHandover(config.stateDirectory(), config.name());
        metrics = new Metrics(config.settings().requestClasses());
        cordons = new CordonStore(this, config.stateDirectory(), config.name());
    }

    /** So many clients as this part of the descriptors holds, or as the others' parts and ours leave. */
    private int clientsOf(double part) {
        int most = (int) (config.maxSockets() * part);
        int left = config.maxSockets()
                - (int) (config.maxSockets() * SERVERS)
                - OWN
                - 2 * ClientListener.connectionsBeyondLimit(most)
                - (config.adminAddress() == null ? 0 : OWN_CONTROL);
        return Math.max(config.maxSockets() / 3, Math.min(most, left)); // a third is theirs by the terms
    }

    // ---- life ----

    /** As the first thing that its process does. */
    void start() throws IOException {
        start(0);
    }

    /**
     * Comes up, and listens only once it is ready: a front takes in what answers. The process has spent so
     * long (ms) on its start before; see {@link Readiness}.
     */
    public void start(double spent) throws IOException {
        if (config.adminAddress() != null) {
            adminAddress = admin.bind(group, config.adminAddress()); // from here on who asks is told: not yet
        }
        Set<String> out = cordons.load();
        CompletableFuture<Void> ready = new CompletableFuture<>();
        ended.thenRun(() -> ready.complete(null)); // told to end meanwhile
        group.execute(() -> {
            try {
                policy = policyFactory.create(config.settings(), config.seed(), now(), this);
            } catch (RuntimeException e) {
                ready.completeExceptionally(e);
                return;
            }
            discovery.ready().thenRun(() -> StartupTimeline.phaseEnded("discovery"));
            endpoints.ready().thenRun(() -> StartupTimeline.phaseEnded("servers"));
            counter.ready().thenRun(() -> StartupTimeline.phaseEnded("counter"));
            cordons(out); // before the first attempt
            cordons.start();
            guarded(() -> discovery.start(config.cachedEndpoints())); // whatever that list is: discovery has another
            counter.start();
            endpoints.start();
            clients.start();
            StartupTimeline.phaseEnded("loop and module");
            Readiness.of(
                            this,
                            spent,
                            config.cachedEndpoints() != null,
                            discovery.ready(),
                            endpoints.ready(),
                            counter.ready())
                    .thenRun(() -> ready.complete(null));
        });
        try {
            ready.get((long) Readiness.LIST_WITHOUT + LOOP_LATE, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            System.err.println("ready, with the loop held up");
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
        if (!(discovery.ready().isDone()
                && endpoints.ready().isDone()
                && counter.ready().isDone())) {
            System.err.println("ready with what there is: discovery "
                    + discovery.ready().isDone() + ", servers "
                    + endpoints.ready().isDone() + ", counter "
                    + counter.ready().isDone());
        }
        try {
            if (handover.hasPredecessor()) {
                clients.limitConnections(clientsOf(CLIENTS_BESIDE));
                schedule(
                        ShutdownDeadline.earliestKill(config.settings()) + REPLACED_ENDS,
                        () -> clients.limitConnections(clientsOf(CLIENTS)));
            }
            SocketAddress bound = ended.isDone() ? null : clients.bind(group, config.listenAddress());
            if (bound == null) {
                return; // SIGTERM came first
            }
            handover.claim();
            listenAddress = bound;
            group.execute(() -> enter(NodeState.SERVING));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** SIGHUP: discovery and counter may have moved. What cannot be read changes nothing. */
    public void reload(ConfigReader file) {
        group.execute(() -> guarded(() -> {
            try {
                GatewayConfig told = file.read();
                discovery.reconnectTo(told.discoveryAddress());
                counter.reconnectTo(told.counterAddress());
            } catch (IOException e) {
                logFailure("configuration", e);
            }
        }));
    }

    public SocketAddress listenAddress() {
        return listenAddress;
    }

    public SocketAddress adminAddress() {
        return adminAddress;
    }

    /** Whether clients are taken: the listener is up and is to stay. */
    @Override
    public boolean acceptsClients() {
        return listenAddress != null && endsAt == Double.MAX_VALUE;
    }

    /**
     * SIGTERM: answers all that is taken and then ends; returns when that is done. Where a new process has
     * taken this one's place new connections are its own at once, and what comes on old ones is soon so.
     */
    public void drain() {
        double due = now() + ShutdownDeadline.answersDue(config.settings()); // from the signal on
        boolean succeeded = handover.hasSuccessor();
        group.execute(() -> guarded(() -> {
            endsAt = due;
            events.writeImmediately();
            enter(NodeState.DRAINING);
            if (!clients.hasListened()) {
                end(); // during the start: nothing is taken, and now nothing will be
                return;
            }
            lookForEnd((double) (succeeded ? STAY_OPEN : LISTEN_ON)); // first: a fault below does not keep the process
            requests.values().forEach(this::boundByEnd);
            schedule(STAY_OPEN, () -> {
                clients.closeAfterResponses();
                clients.closeIdle();
            });
            if (succeeded) {
                clients.stopListening();
                clients.closeAfterResponses();
            } else {
                schedule(LISTEN_ON, clients::stopListening);
            }
        }));
        ended.join();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(500);
    }

    /** A request whose time ends later than this process's is answered by then. */
    private void boundByEnd(ActiveRequest r) {
        double end = endsAt - WAY_BACK;
        if (!r.completed && r.deadline > end) {
            r.deadline = end;
            r.timer.cancel(false);
            r.timer = schedule(end - now() + 1, () -> waited(r));
        }
    }

    /**
     * Ends when nothing is owed. All is answered when answers are due, and connections are ended then; what
     * a slow client has still to read is waited for, but not for ever.
     */
    private void whenIdle() {
        double late = now() - lookDue;
        if (late > LATE) {
            logEvent(new NodeEvent.EventLoopLate(late));
        }
        if (guard.mayEnd(clients.isIdle(), openRequests, now() >= endsAt + LAST_END)) {
            end();
            return;
        }
        lookForEnd(END_LOOK);
        if (now() >= endsAt) {
            clients.closeAll();
        }
    }

    private void lookForEnd(double delay) {
        lookDue = now() + delay;
        schedule(delay, this::whenIdle);
    }

    private void end() {
        enter(NodeState.ENDED);
        events.flush();
        ended.complete(null);
    }

    /** What comes late for a state that is over changes nothing. */
    private void enter(NodeState next) {
        if (guard.enter(next)) {
            logEvent(new NodeEvent.StateEntered(next, next == NodeState.DRAINING ? endsAt - now() : 0));
        }
    }

    /** Behind the end only the loop's own closes come. */
    @Override
    public void logEvent(NodeEvent event) {
        if (!guard.hasEnded()
                || event instanceof NodeEvent.StateEntered
                || event instanceof NodeEvent.InvariantViolated) {
            events.record(now(), event);
        }
    }

    @Override
    public boolean mayListen() {
        return guard.mayListen();
    }

    @Override
    public boolean mayClose(CloseReason reason, int openRequests) {
        return guard.mayClose(reason, openRequests);
    }

    private void violated(Invariant invariant, String request) {
        metrics.countViolation(invariant);
        if (request != null) {
            events.explain(request);
        }
        logEvent(new NodeEvent.InvariantViolated(invariant, request));
    }

    /** Whether an attempt must not be written now. */
    boolean denies(ActiveRequest r, Attempt a) {
        SendDenial denial = guard.denial(r, a, now());
        if (denial != null) {
            metrics.countDenied(denial);
            logEvent(new NodeEvent.AttemptDenied(r.parsed.id(), a.number(), denial));
        }
        return denial != null;
    }

    /** A client's connection has ended. */
    @Override
    public void onClientConnectionClosed(NodeEvent.ClientConnectionClosed closed) {
        metrics.countClientClosed(closed.reason());
        logEvent(closed);
    }

    /** A connection to a place server has ended. */
    @Override
    public void onEndpointConnectionClosed(String server, CloseReason reason) {
        metrics.countEndpointClosed(reason);
        logEvent(new NodeEvent.EndpointConnectionClosed(server, reason));
    }

    /**
     * The module's clock: milliseconds of one monotonic clock, set once to Unix time. So born_ms needs no
     * translation, and the names on the counter, which the module cuts by time, are alike at all edge nodes.
     */
    @Override
    public double now() {
        return startedMs + (System.nanoTime() - startedNanos) / 1e6;
    }

    /** Runs on the loop after a delay (ms); what it throws is logged and ends there. */
    @Override
    public Future<?> schedule(double delay, Runnable what) {
        long nanos = Math.max(0, Math.round(delay * 1e6));
        return group.schedule(() -> guarded(what), nanos, TimeUnit.NANOSECONDS);
    }

    /** An outcome is told after the action that led to it has returned, as on the simulator. */
    @Override
    public void execute(Runnable what) {
        group.execute(() -> guarded(what));
    }

    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException | Error e) {
            logFailure("event", e);
        }
        flush();
    }

    /** Tells the module; an exception in it is logged and never gets to the loop. */
    private boolean notifyPolicy(Consumer<PolicyEvents> event) {
        try {
            event.accept(policy);
            return true;
        } catch (RuntimeException | Error e) {
            logFailure("module", e);
            return false;
        }
    }

    @Override
    public void logFailure(String where, Throwable what) {
        if (++logged > LOGGED) {
            return;
        }
        StackTraceElement[] at = what.getStackTrace();
        System.err.println(where + ": " + what + (at.length > 0 ? " at " + at[0] : ""));
    }

    @Override
    public void flushLater(Channel channel) {
        unflushedChannels.add(channel);
    }

    /** Writes out what the events of this round have left on the connections. */
    @Override
    public void flush() {
        if (!unflushedChannels.isEmpty()) {
            Channel[] all = unflushedChannels.toArray(new Channel[0]);
            unflushedChannels.clear();
            for (Channel channel : all) {
                channel.flush();
            }
        }
        events.flush();
    }

    /** Whether so much is held that clients should be read no further. */
    @Override
    public boolean isMemoryExhausted() {
        return bufferedBytes > HELD;
    }

    // ---- from clients ----

    /**
     * Takes a request, with the large value that comes with it or null; answers what is wrong, or null. The
     * client's wait begins with its last byte, and that is believed to come at the pace so far.
     */
    @Override
    public String acceptCommand(ResponseSlot slot, ArrayRedisMessage command, RequestBody body) {
        double now = now();
        ClientCommand call;
        try {
            call = ClientCommand.parse(command, config.settings());
        } catch (MalformedCommandException e) {
            return e.getMessage();
        }
        if (!(call.clientTimeoutMs() > 0 && call.clientTimeoutMs() <= LONGEST)) {
            return "d is out of range";
        }
        guard.taking(call.id());
        if (!ids.add(call.id())) {
            return "a request of this id is open"; // servers could not tell the two apart
        }
        if (now >= endsAt) {
            refuseAtEnd(slot, call, body);
            return null;
        }
        double wait = call.clientTimeoutMs() + (body == null ? 0 : body.remainingMs(now));
        double patience = Math.max(1, Math.min(wait, endsAt - now) - WAY_BACK);
        ActiveRequest r =
                new ActiveRequest(this, ++lastId, slot, retained(command), call, body, now + patience, now + wait);
        slot.attachRequest(r);
        bufferedBytes += r.bytes;
        openRequests++;
        requests.put(r.id, r);
        r.timer = schedule(patience + 1, () -> waited(r));
        logEvent(new NodeEvent.RequestAccepted(
                call.id(),
                call.requestClass(),
                slot.connectionId(),
                slot.connectionAge(),
                slot.commandsBefore(),
                patience));
        if (!notifyPolicy(m -> m.onRequest(
                now,
                new IncomingRequest(
                        r.id,
                        call.requestClass(),
                        call.plan(),
                        call.customer(),
                        patience,
                        call.units(),
                        call.gatewayCount(),
                        call.firstGateway(),
                        call.retry())))) {
            failUnlessCompleted(r, FailureReason.NO_DECISION);
        }
        return null;
    }

    /** Refused at once: what is open when the process is killed is lost, and that may come now. */
    private void refuseAtEnd(ResponseSlot slot, ClientCommand call, RequestBody body) {
        ids.remove(call.id());
        if (body != null) {
            body.discard();
        }
        metrics.countCompleted(call.requestClass(), RequestOutcome.THROTTLED);
        metrics.countUnserved(RequestOutcome.THROTTLED, FailureReason.SHUTDOWN);
        logEvent(new NodeEvent.RequestCompleted(call.id(), RequestOutcome.THROTTLED, FailureReason.SHUTDOWN));
        slot.respond(new ErrorRedisMessage("BUSY"));
    }

    private static ArrayRedisMessage retained(ArrayRedisMessage command) {
        command.retain();
        return command;
    }

    /** The client's wait is over: attempts still out have timed out, and the module has the last word. */
    private void waited(ActiveRequest r) {
        if (!r.completed) { // first: whatever the attempts' ends lead to, the answer comes
            r.timer = schedule(LAST_WORD, () -> failUnlessCompleted(r, FailureReason.NO_DECISION));
        }
        for (Attempt a : r.attempts.toArray(new Attempt[0])) {
            endpoints.abandon(a, CallOutcome.TIMEOUT);
        }
    }

    /** A request that the module has let lie or choked on fails; each request gets one answer. */
    void failUnlessCompleted(ActiveRequest r, FailureReason reason) {
        if (!r.completed) {
            fail(r, reason);
            notifyPolicy(m -> m.onClientDisconnected(now(), r.id));
        }
    }

    /** The client has gone. An attempt whose last byte is not out would begin only later: it never does. */
    void onClientDisconnected(ActiveRequest r) {
        if (!r.completed) {
            logEvent(new NodeEvent.RequestAbandoned(r.parsed.id()));
            complete(r);
            notifyPolicy(m -> m.onClientDisconnected(now(), r.id));
            for (Attempt a : r.attempts) {
                execute(() -> endpoints.cancelUnwritten(a));
            }
            settle(r);
        }
    }

    private void fail(ActiveRequest r, FailureReason reason) {
        answer(r, new ErrorRedisMessage("ERR failed"), RequestOutcome.FAULTED, reason);
    }

    private void answer(ActiveRequest r, RedisMessage message, RequestOutcome outcome, FailureReason reason) {
        metrics.countUnserved(outcome, reason);
        answerOnce(r, message, outcome, reason);
        settle(r);
    }

    /** The one answer of a request, and the one place where its outcome is counted. */
    private void answerOnce(ActiveRequest r, RedisMessage message, RequestOutcome outcome, FailureReason reason) {
        if (!guard.mayAnswer(r.parsed.id(), r.completed, now() - r.clientDeadline)) {
            ReferenceCountUtil.release(message);
            return;
        }
        logEvent(new NodeEvent.RequestCompleted(r.parsed.id(), outcome, reason));
        complete(r);
        metrics.countCompleted(r.parsed.requestClass(), outcome);
        r.slot.respond(message);
    }

    private void complete(ActiveRequest r) {
        r.completed = true;
        r.completedAt = now();
        if (r.body != null && !r.body.isComplete()) { // what is out of it cannot become a command
            r.body.discard();
            execute(() -> r.attempts.forEach(a -> endpoints.abandon(a, CallOutcome.CANCELLED)));
        } else if (r.body != null) {
            r.body.discard();
        }
        openRequests--;
        r.slot.detachRequest();
        if (r.inFlight == 0) {
            r.timer.cancel(false);
        }
    }

    /** Forgets a request once it is over and nothing is out for it. */
    private void settle(ActiveRequest r) {
        if (r.completed && r.inFlight == 0 && requests.remove(r.id) != null) {
            r.timer.cancel(false);
            ids.remove(r.parsed.id());
            boolean wasFull = isMemoryExhausted();
            bufferedBytes -= r.bytes;
            ReferenceCountUtil.release(r.command);
            if (wasFull && !isMemoryExhausted()) {
                clients.resumeReading();
            }
        }
    }

    // ---- from servers, counter and discovery ----

    /** The last byte of an attempt for this request is written. */
    void onAttemptWritten(ActiveRequest r) {
        metrics.countForwarded();
        guard.written(r.parsed.id(), r.completed ? now() - r.completedAt : 0);
    }

    void onAttemptEnded(ActiveRequest r, Attempt a, CallOutcome outcome, RedisMessage value, double[] load) {
        r.inFlight--;
        double now = now();
        if (outcome != CallOutcome.OK && r.body != null && r.body.isConsumed()) {
            r.body.discard(); // it went with this attempt; what still comes of it goes nowhere
        }
        if (outcome == CallOutcome.OK && !r.completed) {
            answerOnce(r, ReferenceCountUtil.retain(value), RequestOutcome.FULFILLED, null);
        }
        logEvent(new NodeEvent.AttemptEnded(r.parsed.id(), a.number(), a.endpoint(), outcome, now - a.sentAt()));
        a.recordOutcome(outcome);
        boolean told = notifyPolicy(
                m -> m.onAttemptEnded(now, r.id, a.number(), outcome, now - a.sentAt(), r.completed, 0, load));
        if (!told) {
            failUnlessCompleted(r, FailureReason.NO_DECISION);
        }
        settle(r);
    }

    /**
     * A large value has begun to come: the attempt has ended, for how long a client takes to read tells
     * nothing of the server, and the value is on its way. Null where nobody waits for it.
     */
    StreamedResponse onStreamStarted(ActiveRequest r, Attempt a, int length, ResponseSource from) {
        r.inFlight--;
        double now = now();
        StreamedResponse stream = null;
        logEvent(new NodeEvent.AttemptEnded(r.parsed.id(), a.number(), a.endpoint(), CallOutcome.OK, now - a.sentAt()));
        a.recordOutcome(CallOutcome.OK);
        if (!r.completed) {
            complete(r);
            openRequests++; // until the stream ends
            stream = new StreamedResponse(
                    this, from, r.slot, length, outcome -> onStreamEnded(r.parsed.requestClass(), outcome));
            r.slot.respondWith(stream);
        }
        notifyPolicy(m -> m.onAttemptEnded(
                now, r.id, a.number(), CallOutcome.OK, now - a.sentAt(), true, 0, EndpointPool.NO_LOAD));
        settle(r);
        return stream;
    }

    /** A stream has ended: with an outcome, or with none where its client has gone. */
    public void onStreamEnded(String type, RequestOutcome outcome) {
        openRequests--;
        if (outcome != null) {
            metrics.countCompleted(type, outcome);
        }
    }

    @Override
    public void onHealthCheck(String server, CallOutcome outcome, double took, double[] load) {
        notifyPolicy(m -> m.onHealthCheck(now(), server, outcome, took, load));
    }

    @Override
    public void onCounterReply(long name, CallOutcome outcome, double took, double total) {
        notifyPolicy(m -> m.onCounterReply(now(), name, outcome, took, total));
    }

    /** A list, or a part of one. The pool hears first, so that what waits there does not go to a drain. */
    @Override
    public void onEndpoints(List<EndpointDescriptor> list, boolean whole) {
        if (whole) {
            endpoints.onEndpointListStarted();
        }
        for (EndpointDescriptor s : list) {
            if (s.state() != EndpointState.UP) {
                logEvent(new NodeEvent.EndpointLeaving(s.id(), s.state()));
            }
        }
        endpoints.onEndpoints(list);
        if (whole) {
            endpoints.onEndpointListCompleted();
        }
        notifyPolicy(m -> m.onEndpoints(now(), list, whole));
        if (!list.isEmpty()) {
            endpoints.onPolicyNotified();
        }
    }

    /** A whole list begins: its parts follow as changes, and what none of them names is gone at its end. */
    @Override
    public void onEndpointListStarted() {
        endpoints.onEndpointListStarted();
        notifyPolicy(m -> m.onEndpointListStarted(now()));
    }

    @Override
    public void onEndpointListCompleted() {
        endpoints.onEndpointListCompleted();
        notifyPolicy(m -> m.onEndpointListCompleted(now()));
        endpoints.onPolicyNotified();
    }

    @Override
    public void logNotice(String what) {
        System.err.println(what);
    }

    @Override
    public void onDiscoveryFailed() {
        notifyPolicy(m -> m.onDiscoveryFailed(now()));
    }

    // ---- from operators ----

    @Override
    public String metricsText() {
        int[] avoided = new int[1];
        if (policy != null) {
            notifyPolicy(m -> avoided[0] = m.unavailableEndpointCount(now()));
        }
        return metrics.render(openRequests, policy == null ? 0 : policy.endpointCount(), avoided[0]);
    }

    /** One call of the operators, with what becomes of it. */
    @Override
    public void cordon(String server, boolean out, Consumer<CordonResult> answer) {
        if (policy == null) { // too early to know any server
            answer.accept(CordonResult.NOT_KEPT);
        } else {
            cordons.setCordoned(server, out, answer);
        }
    }

    boolean cordon(String server, boolean out) {
        boolean[] known = new boolean[1];
        return notifyPolicy(m -> known[0] = m.setCordoned(now(), server, out)) && known[0];
    }

    void cordons(Set<String> servers) {
        notifyPolicy(m -> m.replaceCordons(now(), servers));
    }

    // ---- actions of the module ----

    @Override
    public void sendAttempt(long id, String server, double until) {
        ActiveRequest r = requests.get(id);
        if (r == null) {
            return;
        }
        Attempt a = new Attempt(r, r.attempts.size(), server, now(), endpoints.descriptor(server));
        r.attempts.add(a);
        r.inFlight++;
        if (denies(r, a)) {
            a.end();
            execute(() -> onAttemptEnded(r, a, CallOutcome.NOT_SENT, null, EndpointPool.NO_LOAD));
            return;
        }
        CallOutcome after =
                a.number() == 0 ? null : r.attempts.get(a.number() - 1).outcome();
        logEvent(new NodeEvent.AttemptSent(r.parsed.id(), a.number(), server, after));
        if (after != null) {
            metrics.countRetry(after);
        }
        if (until > 0 && until < r.deadline) {
            schedule(until - a.sentAt(), () -> endpoints.abandon(a, CallOutcome.TIMEOUT));
        }
        endpoints.send(a);
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        ActiveRequest r = requests.get(id);
        if (r != null && attempt >= 0 && attempt < r.attempts.size()) {
            Attempt a = r.attempts.get(attempt);
            execute(() -> endpoints.abandon(a, CallOutcome.CANCELLED));
        }
    }

    @Override
    public void reject(long id, double retryAfter) {
        reject(id, retryAfter, null);
    }

    @Override
    public void reject(long id, double retryAfter, FailureReason reason) {
        ActiveRequest r = requests.get(id);
        if (r != null && !r.completed) {
            answer(
                    r,
                    new ErrorRedisMessage(retryAfter > 0 ? "BUSY " + Math.round(retryAfter) : "BUSY"),
                    RequestOutcome.THROTTLED,
                    reason);
        }
    }

    @Override
    public void fail(long id) {
        fail(id, null);
    }

    @Override
    public void fail(long id, FailureReason reason) {
        ActiveRequest r = requests.get(id);
        if (r != null && !r.completed) {
            fail(r, reason);
        }
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        double due = now() + delay;
        schedule(delay, () -> {
            // the module keeps one timer for all: lost with an exception, nothing would fall due again
            if (!notifyPolicy(m -> m.onTimer(Math.max(now(), due), token))) {
                scheduleTimer(TIMER_AGAIN, token);
            }
        });
    }

    @Override
    public void checkHealth(String server) {
        endpoints.checkHealth(server);
    }

    @Override
    public void addToCounter(long name, double amount, double keepFor) {
        counter.add(name, amount, keepFor);
    }

    @Override
    public void subscribeToEndpoints() {
        discovery.subscribe();
    }

    @Override
    public void withdrawQueuedAttempts(String server) {
        endpoints.withdraw(server);
    }

    @Override
    public void retainEndpoint(EndpointDescriptor server) {
        endpoints.retain(server);
    }

    @Override
    public void releaseEndpoint(String server) {
        endpoints.release(server);
    }
}
