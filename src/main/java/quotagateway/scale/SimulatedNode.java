package quotagateway.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import quotagateway.policy.Policy;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicyEvents;
import quotagateway.policy.api.PolicySettings;

/** An edge node without sockets: the true decision module on a virtual clock, among stand-ins. */
final class SimulatedNode implements PolicyActions {
    private static final double[] NO_LOAD = new double[0];

    /** What a node meets; both call back on the clock, never at once. */
    interface Peers {
        /** Begins an attempt at a server. */
        void attempt(SimulatedNode node, Attempt attempt);

        /** Adds to a name of the counter. */
        void count(SimulatedNode node, long name, double amount);
    }

    /** A request that came to a node. */
    static final class PendingRequest {
        final long id;
        final String type;
        final double arrived;
        final double deadline;
        final List<Attempt> attempts = new ArrayList<>(1);
        boolean over;
        int out;

        PendingRequest(IncomingRequest told, double now) {
            id = told.id();
            type = told.requestClass();
            arrived = now;
            deadline = now + told.clientTimeout();
        }
    }

    /** One try at a server. */
    static final class Attempt {
        final PendingRequest request;
        final int number;
        final int server;
        final double sent;
        final int life;
        boolean done;

        Attempt(PendingRequest request, int number, int server, double sent, int life) {
            this.request = request;
            this.number = number;
            this.server = server;
            this.sent = sent;
            this.life = life;
        }
    }

    final int rank;
    private final VirtualClock clock;
    private final Peers peers;
    private final PolicySettings settings;
    private final Map<Long, PendingRequest> open = new HashMap<>();
    private final Histogram latency;
    private final BitSet kept = new BitSet();
    private PolicyEvents module;
    private CpuMeter meter;
    /** Events of a process that was killed are dropped by this. */
    private int life;

    long sends;
    long calls;
    long served;
    long refused;
    long failed;

    SimulatedNode(PolicySettings settings, VirtualClock clock, Peers peers, Histogram latency) {
        rank = settings.nodeIndex();
        this.settings = settings;
        this.clock = clock;
        this.peers = peers;
        this.latency = latency;
    }

    /** Starts, or starts again with nothing known. */
    void start(long seed) {
        life++;
        open.clear();
        kept.clear();
        module = new Policy(settings, seed, clock.now(), this);
    }

    /** The process ends without a word. */
    void kill() {
        life++;
        module = null;
        open.clear();
        kept.clear();
    }

    /** The servers, by number, that it keeps connections to. */
    BitSet kept() {
        return kept;
    }

    boolean up() {
        return module != null;
    }

    /** Counts the CPU of the module's events from here on. */
    void meter(CpuMeter with) {
        meter = with;
    }

    // ---- events ----

    void servers(List<EndpointDescriptor> list, boolean whole) {
        tell(m -> m.onEndpoints(clock.now(), list, whole));
    }

    void arrive(IncomingRequest told) {
        PendingRequest o = new PendingRequest(told, clock.now());
        open.put(o.id, o);
        later(told.clientTimeout(), () -> timeUp(o));
        tell(m -> m.onRequest(clock.now(), told));
    }

    /** The client waits no longer: what is out has timed out, and the module has the last word. */
    private void timeUp(PendingRequest o) {
        for (Attempt a : o.attempts) {
            ended(a, CallOutcome.TIMEOUT);
        }
        if (!o.over) {
            later(settings.rules().answerGrace(), () -> over(o, () -> failed++));
        }
    }

    /** An attempt's outcome; the first good one is the client's. */
    void ended(Attempt a, CallOutcome outcome) {
        if (a.done || a.life != life) {
            return;
        }
        a.done = true;
        PendingRequest o = a.request;
        o.out--;
        if (outcome == CallOutcome.OK) {
            over(o, () -> {
                served++;
                latency.recordValue(Math.max(1, Math.round(1000 * (clock.now() - o.arrived))));
            });
        }
        boolean over = o.over;
        tell(m -> m.onAttemptEnded(clock.now(), o.id, a.number, outcome, clock.now() - a.sent, over, 0, NO_LOAD));
        settle(o);
    }

    void counted(int asked, long name, CallOutcome outcome, double took, double total) {
        if (asked == life) {
            tell(m -> m.onCounterReply(clock.now(), name, outcome, took, total));
        }
    }

    int life() {
        return life;
    }

    private void over(PendingRequest o, Runnable count) {
        if (!o.over) {
            o.over = true;
            count.run();
            settle(o);
        }
    }

    /** Forgets a request once it is over and nothing is out for it. */
    private void settle(PendingRequest o) {
        if (o.over && o.out == 0) {
            open.remove(o.id);
        }
    }

    private void tell(Consumer<PolicyEvents> event) {
        if (module == null) {
            return;
        }
        if (meter == null) {
            event.accept(module);
        } else {
            meter.begin();
            event.accept(module);
            meter.end();
        }
    }

    /** On the clock, unless this process has ended by then. */
    private void later(double delay, Runnable what) {
        int then = life;
        clock.after(delay, () -> {
            if (then == life) {
                what.run();
            }
        });
    }

    // ---- actions ----

    @Override
    public void sendAttempt(long id, String server, double until) {
        PendingRequest o = open.get(id);
        if (o == null) {
            return;
        }
        Attempt a = new Attempt(o, o.attempts.size(), EndpointInventory.number(server), clock.now(), life);
        o.attempts.add(a);
        o.out++;
        if (o.over) {
            later(0, () -> ended(a, CallOutcome.NOT_SENT));
            return;
        }
        sends++;
        peers.attempt(this, a);
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        PendingRequest o = open.get(id);
        if (o != null) {
            later(0, () -> ended(o.attempts.get(attempt), CallOutcome.CANCELLED));
        }
    }

    @Override
    public void reject(long id, double retryAfter) {
        PendingRequest o = open.get(id);
        if (o != null) {
            over(o, () -> refused++);
        }
    }

    @Override
    public void fail(long id) {
        PendingRequest o = open.get(id);
        if (o != null) {
            over(o, () -> failed++);
        }
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        later(delay, () -> tell(m -> m.onTimer(clock.now(), token)));
    }

    @Override
    public void checkHealth(String server) {}

    @Override
    public void addToCounter(long name, double amount, double keepFor) {
        calls++;
        peers.count(this, name, amount);
    }

    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void retainEndpoint(EndpointDescriptor server) {
        kept.set(EndpointInventory.number(server.id()));
    }

    @Override
    public void releaseEndpoint(String server) {
        kept.clear(EndpointInventory.number(server));
    }
}
