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

/**
 * A gateway node without sockets: the real policy on a virtual clock, among simulated peers. It carries the policy's
 * actions out, ends requests and attempts as a real node does, and counts what becomes of them.
 */
final class SimulatedNode implements PolicyActions {
    private static final double[] NO_LOAD = new double[0];

    /** The peers of a node; both methods call back on the clock, never at once. */
    interface Peers {
        /** Takes an attempt; {@link SimulatedNode#onAttemptEnded} tells its outcome. */
        void sendAttempt(SimulatedNode node, Attempt attempt);

        /** Adds to a total of the shared counter; {@link SimulatedNode#onCounterReply} tells the new one. */
        void addToCounter(SimulatedNode node, long name, double amount);
    }

    /** A request that arrived and has not ended. */
    static final class PendingRequest {
        final long id;
        final double arrivedAt;
        final List<Attempt> attempts = new ArrayList<>(1);
        boolean completed;
        int inFlight;

        PendingRequest(long id, double arrivedAt) {
            this.id = id;
            this.arrivedAt = arrivedAt;
        }
    }

    /** One attempt of a request at an endpoint. */
    static final class Attempt {
        final PendingRequest request;
        final int number;
        /** Number of the endpoint in the inventory. */
        final int endpoint;

        final double sentAt;
        /** The process that sent it. */
        final int processNumber;

        boolean ended;

        Attempt(PendingRequest request, int number, int endpoint, double sentAt, int processNumber) {
            this.request = request;
            this.number = number;
            this.endpoint = endpoint;
            this.sentAt = sentAt;
            this.processNumber = processNumber;
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
    /** Counts starts and kills; events of an earlier process are dropped. */
    private int processNumber;

    long counterCalls;
    long served;
    long rejected;
    long failed;

    /**
     * A node that has not started.
     *
     * @param latency where the time from arrival to response of each served request is recorded (us)
     */
    SimulatedNode(PolicySettings settings, VirtualClock clock, Peers peers, Histogram latency) {
        index = settings.nodeIndex();
        this.settings = settings;
        this.clock = clock;
        this.peers = peers;
        this.latency = latency;
    }

    /** Starts a process that knows nothing of an earlier one. */
    void start(long seed) {
        beginProcess();
        policy = new Policy(settings, seed, clock.now(), this);
    }

    /** Ends the process at once; what it had in hand is lost. */
    void kill() {
        beginProcess();
        policy = null;
    }

    private void beginProcess() {
        processNumber++;
        pendingRequests.clear();
        retainedEndpoints.clear();
    }

    /** The endpoints, by number, that it keeps connections to. */
    BitSet retainedEndpoints() {
        return retainedEndpoints;
    }

    boolean isUp() {
        return policy != null;
    }

    /** Measures the CPU time of the policy's events from here on. */
    void measureCpu(CpuMeter meter) {
        cpuMeter = meter;
    }

    /** Tells the present process from earlier ones. */
    int processNumber() {
        return processNumber;
    }

    // ---- events ----

    /** An endpoint list or changes of it, as {@link PolicyEvents#onEndpoints} takes them. */
    void onEndpoints(List<EndpointDescriptor> endpoints, boolean complete) {
        notifyPolicy(target -> target.onEndpoints(clock.now(), endpoints, complete));
    }

    /** A request of a client. */
    void onRequest(IncomingRequest incoming) {
        PendingRequest request = new PendingRequest(incoming.id(), clock.now());
        pendingRequests.put(request.id, request);
        later(incoming.clientTimeout(), () -> onClientTimeout(request));
        notifyPolicy(target -> target.onRequest(clock.now(), incoming));
    }

    /** Ends the attempts in flight as timed out; the policy has the answer grace for its decision. */
    private void onClientTimeout(PendingRequest request) {
        for (Attempt attempt : request.attempts) {
            onAttemptEnded(attempt, CallOutcome.TIMEOUT);
        }
        if (!request.completed) {
            later(settings.rules().responseGrace(), () -> complete(request, () -> failed++));
        }
    }

    /** The outcome of an attempt; the first {@link CallOutcome#OK} serves its request. */
    void onAttemptEnded(Attempt attempt, CallOutcome outcome) {
        if (attempt.ended || attempt.processNumber != processNumber) {
            return;
        }
        attempt.ended = true;
        PendingRequest request = attempt.request;
        request.inFlight--;
        if (outcome == CallOutcome.OK) {
            complete(request, () -> {
                served++;
                latency.recordValue(Math.max(1, Math.round(1000 * (clock.now() - request.arrivedAt))));
            });
        }
        boolean completed = request.completed;
        notifyPolicy(target -> target.onAttemptEnded(
                clock.now(), request.id, attempt.number, outcome, clock.now() - attempt.sentAt, completed, 0, NO_LOAD));
        forgetIfEnded(request);
    }

    /** The end of a call to the counter; nothing where the process that made it has ended. */
    void onCounterReply(int calledBy, long name, CallOutcome outcome, double tookMs, double total) {
        if (calledBy == processNumber) {
            notifyPolicy(target -> target.onCounterReply(clock.now(), name, outcome, tookMs, total));
        }
    }

    private void complete(PendingRequest request, Runnable count) {
        if (!request.completed) {
            request.completed = true;
            count.run();
            forgetIfEnded(request);
        }
    }

    private void forgetIfEnded(PendingRequest request) {
        if (request.completed && request.inFlight == 0) {
            pendingRequests.remove(request.id);
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

    /** Schedules an action that is dropped where the present process has ended by then. */
    private void later(double delayMs, Runnable action) {
        int scheduledBy = processNumber;
        clock.schedule(delayMs, () -> {
            if (scheduledBy == processNumber) {
                action.run();
            }
        });
    }

    // ---- actions of the policy ----

    @Override
    public void sendAttempt(long requestId, String endpoint, double timeoutAt) {
        PendingRequest request = pendingRequests.get(requestId);
        if (request == null) {
            return;
        }
        Attempt attempt = new Attempt(
                request, request.attempts.size(), EndpointInventory.numberOf(endpoint), clock.now(), processNumber);
        request.attempts.add(attempt);
        request.inFlight++;
        if (request.completed) {
            later(0, () -> onAttemptEnded(attempt, CallOutcome.NOT_SENT));
            return;
        }
        peers.sendAttempt(this, attempt);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        PendingRequest request = pendingRequests.get(requestId);
        if (request != null) {
            later(0, () -> onAttemptEnded(request.attempts.get(attempt), CallOutcome.CANCELLED));
        }
    }

    @Override
    public void reject(long requestId, double retryAfterMs) {
        PendingRequest request = pendingRequests.get(requestId);
        if (request != null) {
            complete(request, () -> rejected++);
        }
    }

    @Override
    public void fail(long requestId) {
        PendingRequest request = pendingRequests.get(requestId);
        if (request != null) {
            complete(request, () -> failed++);
        }
    }

    @Override
    public void scheduleTimer(double delayMs, long token) {
        later(delayMs, () -> notifyPolicy(target -> target.onTimer(clock.now(), token)));
    }

    /** Simulated endpoints report no load. */
    @Override
    public void checkHealth(String endpoint) {}

    @Override
    public void addToCounter(long name, double amount, double ttlMs) {
        counterCalls++;
        peers.addToCounter(this, name, amount);
    }

    /** Lists come unasked in a simulated fleet. */
    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void retainEndpoint(EndpointDescriptor endpoint) {
        retainedEndpoints.set(EndpointInventory.numberOf(endpoint.id()));
    }

    @Override
    public void releaseEndpoint(String endpoint) {
        retainedEndpoints.clear(EndpointInventory.numberOf(endpoint));
    }
}
