package willowyoke.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import willowyoke.Gateway;

/**
 * One real edge node: clock, timers and the table of requests, between the sockets and the decision module.
 * All of it runs on one event loop thread, the module too. It decides nothing.
 */
public final class Node implements Gateway.Actions, Discovery.Host {
    /** How a decision module is made. */
    public interface Maker {
        Gateway.Events start(Gateway.Settings settings, long seed, double now, Gateway.Actions actions);
    }

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

    private static final int OWN_CONTROL = AdminServer.MOST + 1;
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

    /** A request of a client, from its last byte to the end of its last attempt. */
    static final class Request {
        final long id;
        final ClientListener.Slot slot;
        final ArrayRedisMessage command;
        final Call call;
        /** By then (ms) its client stops waiting. */
        final double clientEnds;
        /** By then (ms) its client has to have the answer: its own time, or the end of the node's. */
        double deadline;
        /** A large value that passes through, or null. */
        final Body body;

        final int bytes;
        final List<ServerPool.Attempt> attempts = new ArrayList<>(1);
        boolean over;
        /** When (ms) it was over. */
        double overAt;

        int out;
        Future<?> timer;

        Request(
                long id,
                ClientListener.Slot slot,
                ArrayRedisMessage command,
                Call call,
                Body body,
                double deadline,
                double clientEnds) {
            this.id = id;
            this.clientEnds = clientEnds;
            this.body = body;
            this.slot = slot;
            this.command = command;
            this.call = call;
            this.deadline = deadline;
            int sum = body == null ? 0 : Body.KEPT;
            for (RedisMessage part : command.children()) {
                sum += ((FullBulkStringRedisMessage) part).content().readableBytes();
            }
            bytes = sum;
        }
    }

    private final Config config;
    private final Maker maker;
    private final EventLoopGroup group = Transport.loop();
    private final long startedNanos = System.nanoTime();
    private final double startedMs = System.currentTimeMillis();
    private final LongObjectHashMap<Request> requests = new LongObjectHashMap<>();
    private final Set<String> ids = new HashSet<>();
    private final Set<Channel> dirty = new LinkedHashSet<>();
    private final ClientListener clients;
    private final ServerPool servers;
    private final CounterClient counter;
    private final Discovery discovery;
    private final AdminServer admin;
    private final Handover handover;
    private final Cordons cordons;
    private final Metrics metrics;
    private final EventLog events = new EventLog(System.err);
    private final LifecycleGuard guard;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private Gateway.Events module;
    private long lastId;
    /** Requests taken and not ended: fewer than the table has, as attempts may outlive their request. */
    private int openRequests;

    private long held;
    private int logged;
    /** When (ms) the next look at whether all has ended is due. */
    private double lookDue;

    private volatile SocketAddress address;
    private volatile SocketAddress control;
    /** Set at SIGTERM: by then (ms) all is answered, as the process may be killed right after. */
    private volatile double endsAt = Double.MAX_VALUE;

    public Node(Config config, Maker maker) {
        this.config = config;
        this.maker = maker;
        guard = new LifecycleGuard(config.settings(), this::violated);
        clients = new ClientListener(this, clientsOf(CLIENTS));
        servers = new ServerPool(this, group, config, (int) (config.sockets() * SERVERS));
        counter = new CounterClient(
                this, group, config.counter(), config.settings().allowed().counterTimeout(), config.seed());
        discovery = new Discovery(this, Discovery.sockets(group), config);
        admin = new AdminServer(this);
        handover = new Handover(config.folder(), config.name());
        metrics = new Metrics(config.settings().classes());
        cordons = new Cordons(this, config.folder(), config.name());
    }

    /** So many clients as this part of the descriptors holds, or as the others' parts and ours leave. */
    private int clientsOf(double part) {
        int most = (int) (config.sockets() * part);
        int left = config.sockets()
                - (int) (config.sockets() * SERVERS)
                - OWN
                - 2 * ClientListener.beyond(most)
                - (config.control() == null ? 0 : OWN_CONTROL);
        return Math.max(config.sockets() / 3, Math.min(most, left)); // a third is theirs by the terms
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
        if (config.control() != null) {
            control = admin.bind(group, config.control()); // from here on who asks is told: not yet
        }
        Set<String> out = cordons.load();
        CompletableFuture<Void> ready = new CompletableFuture<>();
        ended.thenRun(() -> ready.complete(null)); // told to end meanwhile
        group.execute(() -> {
            try {
                module = maker.start(config.settings(), config.seed(), now(), this);
            } catch (RuntimeException e) {
                ready.completeExceptionally(e);
                return;
            }
            discovery.ready().thenRun(() -> StartLog.ended("discovery"));
            servers.ready().thenRun(() -> StartLog.ended("servers"));
            counter.ready().thenRun(() -> StartLog.ended("counter"));
            cordons(out); // before the first attempt
            cordons.start();
            guarded(() -> discovery.start(config.known())); // whatever that list is: discovery has another
            counter.start();
            servers.start();
            clients.start();
            StartLog.ended("loop and module");
            Readiness.of(this, spent, config.known() != null, discovery.ready(), servers.ready(), counter.ready())
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
                && servers.ready().isDone()
                && counter.ready().isDone())) {
            System.err.println("ready with what there is: discovery "
                    + discovery.ready().isDone() + ", servers "
                    + servers.ready().isDone() + ", counter " + counter.ready().isDone());
        }
        try {
            if (handover.beside()) {
                clients.bound(clientsOf(CLIENTS_BESIDE));
                after(
                        ShutdownBudget.earliestKill(config.settings()) + REPLACED_ENDS,
                        () -> clients.bound(clientsOf(CLIENTS)));
            }
            SocketAddress bound = ended.isDone() ? null : clients.bind(group, config.listen());
            if (bound == null) {
                return; // SIGTERM came first
            }
            handover.claim();
            address = bound;
            group.execute(() -> enter(Phase.SERVING));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** How the configuration is read again. */
    public interface Reader {
        Config read() throws IOException;
    }

    /** SIGHUP: discovery and counter may have moved. What cannot be read changes nothing. */
    public void reload(Reader file) {
        group.execute(() -> guarded(() -> {
            try {
                Config told = file.read();
                discovery.move(told.discovery());
                counter.move(told.counter());
            } catch (IOException e) {
                log("configuration", e);
            }
        }));
    }

    SocketAddress address() {
        return address;
    }

    SocketAddress control() {
        return control;
    }

    /** Whether clients are taken: the listener is up and is to stay. */
    boolean taking() {
        return address != null && endsAt == Double.MAX_VALUE;
    }

    /**
     * SIGTERM: answers all that is taken and then ends; returns when that is done. Where a new process has
     * taken this one's place new connections are its own at once, and what comes on old ones is soon so.
     */
    public void drain() {
        double due = now() + ShutdownBudget.answersDue(config.settings()); // from the signal on
        boolean succeeded = handover.succeeded();
        group.execute(() -> guarded(() -> {
            endsAt = due;
            events.writeAll();
            enter(Phase.DRAINING);
            if (!clients.hasListened()) {
                end(); // during the start: nothing is taken, and now nothing will be
                return;
            }
            lookForEnd(succeeded ? STAY_OPEN : LISTEN_ON); // first: a fault below does not keep the process
            requests.values().forEach(this::boundByEnd);
            after(STAY_OPEN, () -> {
                clients.close();
                clients.closeIdle();
            });
            if (succeeded) {
                clients.unbind();
                clients.close();
            } else {
                after(LISTEN_ON, clients::unbind);
            }
        }));
        ended.join();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(500);
    }

    /** A request whose time ends later than this process's is answered by then. */
    private void boundByEnd(Request r) {
        double end = endsAt - WAY_BACK;
        if (!r.over && r.deadline > end) {
            r.deadline = end;
            r.timer.cancel(false);
            r.timer = after(end - now() + 1, () -> waited(r));
        }
    }

    /**
     * Ends when nothing is owed. All is answered when answers are due, and connections are ended then; what
     * a slow client has still to read is waited for, but not for ever.
     */
    private void whenIdle() {
        double late = now() - lookDue;
        if (late > LATE) {
            event(new Event.LoopLate(late));
        }
        if (guard.mayEnd(clients.idle(), openRequests, now() >= endsAt + LAST_END)) {
            end();
            return;
        }
        lookForEnd(END_LOOK);
        if (now() >= endsAt) {
            clients.endAll();
        }
    }

    private void lookForEnd(double delay) {
        lookDue = now() + delay;
        after(delay, this::whenIdle);
    }

    private void end() {
        enter(Phase.ENDED);
        events.flush();
        ended.complete(null);
    }

    /** What comes late for a state that is over changes nothing. */
    private void enter(Phase next) {
        if (guard.enter(next)) {
            event(new Event.State(next, next == Phase.DRAINING ? endsAt - now() : 0));
        }
    }

    /** Behind the end only the loop's own closes come. */
    @Override
    public void event(Event event) {
        if (!guard.hasEnded() || event instanceof Event.State || event instanceof Event.Violation) {
            events.add(now(), event);
        }
    }

    /** What may be done to requests, connections and the process is asked here. */
    LifecycleGuard guard() {
        return guard;
    }

    private void violated(LifecycleGuard.Invariant invariant, String request) {
        metrics.violated(invariant);
        if (request != null) {
            events.explain(request);
        }
        event(new Event.Violation(invariant, request));
    }

    /** Whether an attempt must not be written now. */
    boolean denies(ServerPool.Attempt a) {
        LifecycleGuard.Denial denial = guard.denial(a.request, a, now());
        if (denial != null) {
            metrics.denied(denial);
            event(new Event.Denied(a.request.call.id(), a.number, denial));
        }
        return denial != null;
    }

    /** A client's connection has ended. */
    void clientClosed(Event.ClientClosed closed) {
        metrics.clientClosed(closed.reason());
        event(closed);
    }

    /** A connection to a place server has ended. */
    void serverClosed(String server, CloseReason reason) {
        metrics.serverClosed(reason);
        event(new Event.ServerClosed(server, reason));
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
    public Future<?> after(double delay, Runnable what) {
        long nanos = Math.max(0, Math.round(delay * 1e6));
        return group.schedule(() -> guarded(what), nanos, TimeUnit.NANOSECONDS);
    }

    /** An outcome is told after the action that led to it has returned, as on the simulator. */
    void later(Runnable what) {
        group.execute(() -> guarded(what));
    }

    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException | Error e) {
            log("event", e);
        }
        flush();
    }

    /** Tells the module; an exception in it is logged and never gets to the loop. */
    private boolean tell(Consumer<Gateway.Events> event) {
        try {
            event.accept(module);
            return true;
        } catch (RuntimeException | Error e) {
            log("module", e);
            return false;
        }
    }

    @Override
    public void log(String where, Throwable what) {
        if (++logged > LOGGED) {
            return;
        }
        StackTraceElement[] at = what.getStackTrace();
        System.err.println(where + ": " + what + (at.length > 0 ? " at " + at[0] : ""));
    }

    void flushLater(Channel channel) {
        dirty.add(channel);
    }

    /** Writes out what the events of this round have left on the connections. */
    @Override
    public void flush() {
        if (!dirty.isEmpty()) {
            Channel[] all = dirty.toArray(new Channel[0]);
            dirty.clear();
            for (Channel channel : all) {
                channel.flush();
            }
        }
        events.flush();
    }

    /** Whether so much is held that clients should be read no further. */
    boolean full() {
        return held > HELD;
    }

    // ---- from clients ----

    /**
     * Takes a request, with the large value that comes with it or null; answers what is wrong, or null. The
     * client's wait begins with its last byte, and that is believed to come at the pace so far.
     */
    String take(ClientListener.Slot slot, ArrayRedisMessage command, Body body) {
        double now = now();
        Call call;
        try {
            call = Call.of(command, config.settings());
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        }
        if (!(call.patience() > 0 && call.patience() <= LONGEST)) {
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
        double wait = call.patience() + (body == null ? 0 : body.rest(now));
        double patience = Math.max(1, Math.min(wait, endsAt - now) - WAY_BACK);
        Request r = new Request(++lastId, slot, retained(command), call, body, now + patience, now + wait);
        slot.request = r;
        held += r.bytes;
        openRequests++;
        requests.put(r.id, r);
        r.timer = after(patience + 1, () -> waited(r));
        event(new Event.Taken(
                call.id(), call.type(), slot.connection(), slot.connectionAge(), slot.commandsBefore(), patience));
        if (!tell(m -> m.arrived(
                now,
                new Gateway.Request(
                        r.id,
                        call.type(),
                        call.plan(),
                        call.customer(),
                        patience,
                        call.units(),
                        call.spread(),
                        call.first(),
                        call.again())))) {
            giveUp(r, Gateway.EndReason.NO_DECISION);
        }
        return null;
    }

    /** Refused at once: what is open when the process is killed is lost, and that may come now. */
    private void refuseAtEnd(ClientListener.Slot slot, Call call, Body body) {
        ids.remove(call.id());
        if (body != null) {
            body.drop();
        }
        metrics.ended(call.type(), Metrics.Outcome.THROTTLED);
        metrics.unserved(Metrics.Outcome.THROTTLED, Gateway.EndReason.SHUTDOWN);
        event(new Event.Answered(call.id(), Metrics.Outcome.THROTTLED, Gateway.EndReason.SHUTDOWN));
        slot.answer(new ErrorRedisMessage("BUSY"));
    }

    private static ArrayRedisMessage retained(ArrayRedisMessage command) {
        command.retain();
        return command;
    }

    /** The client's wait is over: attempts still out have timed out, and the module has the last word. */
    private void waited(Request r) {
        if (!r.over) { // first: whatever the attempts' ends lead to, the answer comes
            r.timer = after(LAST_WORD, () -> giveUp(r, Gateway.EndReason.NO_DECISION));
        }
        for (ServerPool.Attempt a : r.attempts.toArray(new ServerPool.Attempt[0])) {
            servers.giveUp(a, Gateway.Outcome.TIMEOUT);
        }
    }

    /** A request that the module has let lie or choked on fails; each request gets one answer. */
    void giveUp(Request r, Gateway.EndReason reason) {
        if (!r.over) {
            fail(r, reason);
            tell(m -> m.gone(now(), r.id));
        }
    }

    /** The client has gone. An attempt whose last byte is not out would begin only later: it never does. */
    void gone(Request r) {
        if (!r.over) {
            event(new Event.Abandoned(r.call.id()));
            over(r);
            tell(m -> m.gone(now(), r.id));
            for (ServerPool.Attempt a : r.attempts) {
                later(() -> servers.recall(a));
            }
            settle(r);
        }
    }

    private void fail(Request r, Gateway.EndReason reason) {
        answer(r, new ErrorRedisMessage("ERR failed"), Metrics.Outcome.FAULTED, reason);
    }

    private void answer(Request r, RedisMessage message, Metrics.Outcome outcome, Gateway.EndReason reason) {
        metrics.unserved(outcome, reason);
        last(r, message, outcome, reason);
        settle(r);
    }

    /** The one answer of a request, and the one place where its outcome is counted. */
    private void last(Request r, RedisMessage message, Metrics.Outcome outcome, Gateway.EndReason reason) {
        if (!guard.mayAnswer(r.call.id(), r.over, now() - r.clientEnds)) {
            ReferenceCountUtil.release(message);
            return;
        }
        event(new Event.Answered(r.call.id(), outcome, reason));
        over(r);
        metrics.ended(r.call.type(), outcome);
        r.slot.answer(message);
    }

    private void over(Request r) {
        r.over = true;
        r.overAt = now();
        if (r.body != null && !r.body.whole()) { // what is out of it cannot become a command
            r.body.drop();
            later(() -> r.attempts.forEach(a -> servers.giveUp(a, Gateway.Outcome.CANCELLED)));
        } else if (r.body != null) {
            r.body.drop();
        }
        openRequests--;
        r.slot.request = null;
        if (r.out == 0) {
            r.timer.cancel(false);
        }
    }

    /** Forgets a request once it is over and nothing is out for it. */
    private void settle(Request r) {
        if (r.over && r.out == 0 && requests.remove(r.id) != null) {
            r.timer.cancel(false);
            ids.remove(r.call.id());
            boolean wasFull = full();
            held -= r.bytes;
            ReferenceCountUtil.release(r.command);
            if (wasFull && !full()) {
                clients.resume();
            }
        }
    }

    // ---- from servers, counter and discovery ----

    /** The last byte of an attempt for this request is written. */
    void relayed(Request r) {
        metrics.relayed();
        guard.written(r.call.id(), r.over ? now() - r.overAt : 0);
    }

    void attemptEnded(ServerPool.Attempt a, Gateway.Outcome outcome, RedisMessage value, double[] load) {
        Request r = a.request;
        r.out--;
        double now = now();
        if (outcome != Gateway.Outcome.OK && r.body != null && r.body.isGone()) {
            r.body.drop(); // it went with this attempt; what still comes of it goes nowhere
        }
        if (outcome == Gateway.Outcome.OK && !r.over) {
            last(r, ReferenceCountUtil.retain(value), Metrics.Outcome.FULFILLED, null);
        }
        event(new Event.Ended(r.call.id(), a.number, a.server, outcome, now - a.sent));
        a.outcome = outcome;
        boolean told = tell(m -> m.ended(now, r.id, a.number, outcome, now - a.sent, r.over, 0, load));
        if (!told) {
            giveUp(r, Gateway.EndReason.NO_DECISION);
        }
        settle(r);
    }

    /**
     * A large value has begun to come: the attempt has ended, for how long a client takes to read tells
     * nothing of the server, and the value is on its way. Null where nobody waits for it.
     */
    ValueStream begun(ServerPool.Attempt a, int length, ValueStream.Source from) {
        Request r = a.request;
        r.out--;
        double now = now();
        ValueStream stream = null;
        event(new Event.Ended(r.call.id(), a.number, a.server, Gateway.Outcome.OK, now - a.sent));
        a.outcome = Gateway.Outcome.OK;
        if (!r.over) {
            over(r);
            openRequests++; // until the stream ends
            stream = new ValueStream(this, from, r.slot, r.call.type(), length);
            r.slot.stream(stream);
        }
        tell(m -> m.ended(now, r.id, a.number, Gateway.Outcome.OK, now - a.sent, true, 0, ServerPool.NO_LOAD));
        settle(r);
        return stream;
    }

    /** A stream has ended: with an outcome, or with none where its client has gone. */
    void streamed(String type, Metrics.Outcome outcome) {
        openRequests--;
        if (outcome != null) {
            metrics.ended(type, outcome);
        }
    }

    void probed(String server, Gateway.Outcome outcome, double took, double[] load) {
        tell(m -> m.probed(now(), server, outcome, took, load));
    }

    void counted(long name, Gateway.Outcome outcome, double took, double total) {
        tell(m -> m.counted(now(), name, outcome, took, total));
    }

    /** A list, or a part of one. The pool hears first, so that what waits there does not go to a drain. */
    @Override
    public void listed(List<Gateway.Server> list, boolean whole) {
        if (whole) {
            servers.listBegins();
        }
        for (Gateway.Server s : list) {
            if (s.state() != Gateway.State.UP) {
                event(new Event.ServerLeaves(s.id(), s.state()));
            }
        }
        servers.listed(list);
        if (whole) {
            servers.listEnds();
        }
        tell(m -> m.servers(now(), list, whole));
        if (!list.isEmpty()) {
            servers.known();
        }
    }

    /** A whole list begins: its parts follow as changes, and what none of them names is gone at its end. */
    @Override
    public void listBegins() {
        servers.listBegins();
        tell(m -> m.listBegins(now()));
    }

    @Override
    public void listEnds() {
        servers.listEnds();
        tell(m -> m.listEnds(now()));
        servers.known();
    }

    @Override
    public void say(String what) {
        System.err.println(what);
    }

    @Override
    public void discoveryFailed() {
        tell(m -> m.discoveryFailed(now()));
    }

    // ---- from operators ----

    String figures() {
        int[] avoided = new int[1];
        if (module != null) {
            tell(m -> avoided[0] = m.avoided(now()));
        }
        return metrics.text(openRequests, module == null ? 0 : module.listed(), avoided[0]);
    }

    /** One call of the operators, with what becomes of it. */
    void cordon(String server, boolean out, Consumer<Cordons.Result> answer) {
        if (module == null) { // too early to know any server
            answer.accept(Cordons.Result.NOT_KEPT);
        } else {
            cordons.call(server, out, answer);
        }
    }

    boolean cordon(String server, boolean out) {
        boolean[] known = new boolean[1];
        return tell(m -> known[0] = m.cordon(now(), server, out)) && known[0];
    }

    void cordons(Set<String> servers) {
        tell(m -> m.cordons(now(), servers));
    }

    // ---- actions of the module ----

    @Override
    public void send(long id, String server, double until) {
        Request r = requests.get(id);
        if (r == null) {
            return;
        }
        ServerPool.Attempt a = new ServerPool.Attempt(r, r.attempts.size(), server, now(), servers.told(server));
        r.attempts.add(a);
        r.out++;
        if (denies(a)) {
            a.done = true;
            later(() -> attemptEnded(a, Gateway.Outcome.NOT_SENT, null, ServerPool.NO_LOAD));
            return;
        }
        Gateway.Outcome after = a.number == 0 ? null : r.attempts.get(a.number - 1).outcome;
        event(new Event.Sent(r.call.id(), a.number, server, after));
        if (after != null) {
            metrics.retried(after);
        }
        if (until > 0 && until < r.deadline) {
            after(until - a.sent, () -> servers.giveUp(a, Gateway.Outcome.TIMEOUT));
        }
        servers.send(a);
    }

    @Override
    public void cancel(long id, int attempt) {
        Request r = requests.get(id);
        if (r != null && attempt >= 0 && attempt < r.attempts.size()) {
            ServerPool.Attempt a = r.attempts.get(attempt);
            later(() -> servers.giveUp(a, Gateway.Outcome.CANCELLED));
        }
    }

    @Override
    public void refuse(long id, double retryAfter) {
        refuse(id, retryAfter, null);
    }

    @Override
    public void refuse(long id, double retryAfter, Gateway.EndReason reason) {
        Request r = requests.get(id);
        if (r != null && !r.over) {
            answer(
                    r,
                    new ErrorRedisMessage(retryAfter > 0 ? "BUSY " + Math.round(retryAfter) : "BUSY"),
                    Metrics.Outcome.THROTTLED,
                    reason);
        }
    }

    @Override
    public void fail(long id) {
        fail(id, null);
    }

    @Override
    public void fail(long id, Gateway.EndReason reason) {
        Request r = requests.get(id);
        if (r != null && !r.over) {
            fail(r, reason);
        }
    }

    @Override
    public void timer(double delay, long token) {
        double due = now() + delay;
        after(delay, () -> {
            // the module keeps one timer for all: lost with an exception, nothing would fall due again
            if (!tell(m -> m.timer(Math.max(now(), due), token))) {
                timer(TIMER_AGAIN, token);
            }
        });
    }

    @Override
    public void probe(String server) {
        servers.probe(server);
    }

    @Override
    public void count(long name, double amount, double keepFor) {
        counter.add(name, amount, keepFor);
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }

    @Override
    public void withdraw(String server) {
        servers.withdraw(server);
    }

    @Override
    public void keep(Gateway.Server server) {
        servers.keep(server);
    }

    @Override
    public void release(String server) {
        servers.release(server);
    }
}
