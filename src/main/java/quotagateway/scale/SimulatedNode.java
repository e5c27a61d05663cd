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
        void sendAttempt(SimulatedNode node, Attempt attempt);

        /** Adds to a name of the counter. */
        void addToCounter(SimulatedNode node, long name, double amount);
    }

    /** A request that came to a node. */
    static final class PendingRequest {
        final long id;
        final String requestClass;
        final double arrivedAt;
        final double deadline;
        final List<Attempt> attempts = new ArrayList<>(1);
        boolean completed;
        int inFlight;

        PendingRequest(IncomingRequest told, double now) {
            id = told.id();
            requestClass = told.requestClass();
            arrivedAt = now;
            deadline = now + told.clientTimeout();
        }
    }

    /** One try at a server. */
    static final class Attempt {
        final PendingRequest request;
        final int number;
        final int endpoint;
        final double sentAt;
        final int processNumber;
        boolean ended;

        Attempt(PendingRequest request, int number, int server, double sent, int life) {
            this.request = request;
            this.number = number;
            this.endpoint = server;
            this.sentAt = sent;
            this.processNumber = life;
        }
    }

    final int index;
    private final VirtualClock clock;
    private final Peers peers;
    private final PolicySettings settings;
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final Histogram latency;
    private final BitSet retainedEndpoints = new BitSet();
    private PolicyEvents policy;
    private CpuMeter cpuMeter;
    /** Events of a process that was killed are dropped by this. */
    private int processNumber;

    long attemptsSent;
    long counterCalls;
    long served;
    long rejected;
    long failed;

    SimulatedNode(PolicySettings settings, VirtualClock clock, Peers peers, Histogram latency) {
        index = settings.nodeIndex();
        this.settings = settings;
        this.clock = clock;
        this.peers = peers;
        this.latency = latency;
    }

    /** Starts, or starts again with nothing known. */
    void start(long seed) {
        processNumber++;
        pendingRequests.clear();
        retainedEndpoints.clear();
        policy = new Policy(settings, seed, clock.now(), this);
    }

    /** The process ends without a word. */
    void kill() {
        processNumber++;
        policy = null;
        pendingRequests.clear();
        retainedEndpoints.clear();
    }

    /** The servers, by number, that it keeps connections to. */
    BitSet retainedEndpoints() {
        return retainedEndpoints;
    }

    boolean isUp() {
        return policy != null;
    }

    /** Counts the CPU of the module's events from here on. */
    void cpuMeter(CpuMeter with) {
        cpuMeter = with;
    }

    // ---- events ----

    void onEndpoints(List<EndpointDescriptor> list, boolean whole) {
        notifyPolicy(m -> m.onEndpoints(clock.now(), list, whole));
    }

    void onRequest(IncomingRequest told) {
        PendingRequest o = new PendingRequest(told, clock.now());
        pendingRequests.put(o.id, o);
        later(told.clientTimeout(), () -> onClientTimeout(o));
        notifyPolicy(m -> m.onRequest(clock.now(), told));
    }

    /** The client waits no longer: what is out has timed out, and the module has the last word. */
    private void onClientTimeout(PendingRequest o) {
        for (Attempt a : o.attempts) {
            onAttemptEnded(a, CallOutcome.TIMEOUT);
        }
        if (!o.completed) {
            later(settings.rules().answerGrace(), () -> complete(o, () -> failed++));
        }
    }

    /** An attempt's outcome; the first good one is the client's. */
    void onAttemptEnded(Attempt a, CallOutcome outcome) {
        if (a.ended || a.processNumber != processNumber) {
            return;
        }
        a.ended = true;
        PendingRequest o = a.request;
        o.inFlight--;
        if (outcome == CallOutcome.OK) {
            complete(o, () -> {
                served++;
                latency.recordValue(Math.max(1, Math.round(1000 * (clock.now() - o.arrivedAt))));
            });
        }
        boolean over = o.completed;
        notifyPolicy(
                m -> m.onAttemptEnded(clock.now(), o.id, a.number, outcome, clock.now() - a.sentAt, over, 0, NO_LOAD));
        forgetIfEnded(o);
    }

    void onCounterReply(int asked, long name, CallOutcome outcome, double took, double total) {
        if (asked == processNumber) {
            notifyPolicy(m -> m.onCounterReply(clock.now(), name, outcome, took, total));
        }
    }

    int processNumber() {
        return processNumber;
    }

    private void complete(PendingRequest o, Runnable count) {
        if (!o.completed) {
            o.completed = true;
            count.run();
            forgetIfEnded(o);
        }
    }

    /** Forgets a request once it is over and nothing is out for it. */
    private void forgetIfEnded(PendingRequest o) {
        if (o.completed && o.inFlight == 0) {
            pendingRequests.remove(o.id);
        }
    }

    private void notifyPolicy(Consumer<PolicyEvents> event) {
        if (policy == null) {
            return;
        }
        if (cpuMeter == null) {
            event.accept(policy);
        } else {
            cpuMeter.begin();
            event.accept(policy);
            cpuMeter.end();
        }
    }

    /** On the clock, unless this process has ended by then. */
    private void later(double delay, Runnable what) {
        int then = processNumber;
        clock.schedule(delay, () -> {
            if (then == processNumber) {
                what.run();
            }
        });
    }

    // ---- actions ----

    @Override
    public void sendAttempt(long id, String server, double until) {
        PendingRequest o = pendingRequests.get(id);
        if (o == null) {
            return;
        }
        Attempt a = new Attempt(o, o.attempts.size(), EndpointInventory.numberOf(server), clock.now(), processNumber);
        o.attempts.add(a);
        o.inFlight++;
        if (o.completed) {
            later(0, () -> onAttemptEnded(a, CallOutcome.NOT_SENT));
            return;
        }
        attemptsSent++;
        peers.sendAttempt(this, a);
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        PendingRequest o = pendingRequests.get(id);
        if (o != null) {
            later(0, () -> onAttemptEnded(o.attempts.get(attempt), CallOutcome.CANCELLED));
        }
    }

    @Override
    public void reject(long id, double retryAfter) {
        PendingRequest o = pendingRequests.get(id);
        if (o != null) {
            complete(o, () -> rejected++);
        }
    }

    @Override
    public void fail(long id) {
        PendingRequest o = pendingRequests.get(id);
        if (o != null) {
            complete(o, () -> failed++);
        }
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        later(delay, () -> notifyPolicy(m -> m.onTimer(clock.now(), token)));
    }

    @Override
    public void checkHealth(String server) {}

    @Override
    public void addToCounter(long name, double amount, double keepFor) {
        counterCalls++;
        peers.addToCounter(this, name, amount);
    }

    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void retainEndpoint(EndpointDescriptor server) {
        retainedEndpoints.set(EndpointInventory.numberOf(server.id()));
    }

    @Override
    public void releaseEndpoint(String server) {
        retainedEndpoints.clear(EndpointInventory.numberOf(server));
    }
}
