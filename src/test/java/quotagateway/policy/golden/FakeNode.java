package quotagateway.policy.golden;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import quotagateway.policy.Policy;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicyEvents;
import quotagateway.policy.api.PolicySettings;

/**
 * The simulated host of one policy: performs its actions on the timeline with simulated peers, and ends requests and
 * attempts as a real node does. A restart creates a new policy without any state.
 */
final class FakeNode implements PolicyActions {
    /** The longest time that an attempt waits for a connection; until then it can be withdrawn. */
    private static final double CONNECT_MS = 3;

    /**
     * Delay of every timer, because a real timer never fires exactly on time. The policy does not end a call that is
     * made exactly at the edge of a subperiod.
     */
    private static final double TIMER_DELAY_MS = 1.0 / 64;

    private static final class Request {
        final IncomingRequest incoming;
        final List<Attempt> attempts = new ArrayList<>();
        boolean completed;
        boolean streaming;
        int inFlight;

        Request(IncomingRequest incoming) {
            this.incoming = incoming;
        }
    }

    private static final class Attempt {
        final Request request;
        final int number;
        final String endpoint;
        final double sentAt;
        FakeEndpoint acceptedBy;
        boolean ended;

        Attempt(Request request, int number, String endpoint, double sentAt) {
            this.request = request;
            this.number = number;
            this.endpoint = endpoint;
            this.sentAt = sentAt;
        }
    }

    private final GoldenScenario scenario;
    private final PolicySettings settings;
    private final int index;
    private final Timeline timeline;
    private final Random random;
    private final FakeFleet fleet;
    private final Transcript transcript;
    private final Map<Long, Request> openRequests = new HashMap<>();
    private final List<Attempt> connecting = new ArrayList<>();
    private PolicyEvents policy;
    /** Number of the node's current process; events that an earlier process scheduled are dropped. */
    private int processNumber;

    private boolean running;

    FakeNode(GoldenScenario scenario, int index, FakeFleet fleet, Transcript transcript) {
        this.scenario = scenario;
        this.index = index;
        this.fleet = fleet;
        this.transcript = transcript;
        settings = scenario.settings(index);
        timeline = fleet.timeline();
        random = fleet.random();
    }

    void start() {
        running = true;
        policy = new RecordedPolicy(
                new Policy(settings, random.nextLong(), timeline.now(), new RecordedActions(this, transcript, index)),
                transcript,
                index);
    }

    /** Ends the process immediately and drops its open requests and attempts. */
    void kill() {
        running = false;
        processNumber++;
        for (Request request : List.copyOf(openRequests.values())) {
            request.completed = true;
            for (Attempt attempt : request.attempts) {
                release(attempt);
            }
        }
        openRequests.clear();
        connecting.clear();
    }

    boolean isRunning() {
        return running;
    }

    /** Returns the policy of the current process. */
    PolicyEvents policy() {
        return policy;
    }

    /** Runs an action after a delay, unless the current process has ended by then. */
    void later(double delayMs, Runnable action) {
        int schedulingProcess = processNumber;
        timeline.after(delayMs, () -> {
            if (running && processNumber == schedulingProcess) {
                action.run();
            }
        });
    }

    // ---- clients ----

    void onRequest(IncomingRequest incoming) {
        Request request = new Request(incoming);
        openRequests.put(incoming.id(), request);
        later(incoming.clientTimeout(), () -> timeOut(request));
        if (random.nextInt(50) == 0) {
            later(random.nextDouble() * incoming.clientTimeout() / 2, () -> disconnectClient(request));
        }
        policy.onRequest(timeline.now(), incoming);
    }

    private void disconnectClient(Request request) {
        if (!request.completed) {
            request.completed = true;
            policy.onClientDisconnected(timeline.now(), request.incoming.id());
            forgetIfEnded(request);
        }
    }

    /** Ends the client's wait: attempts time out, and the policy has the grace time for a final response. */
    private void timeOut(Request request) {
        for (Attempt attempt : List.copyOf(request.attempts)) {
            end(attempt, CallOutcome.TIMEOUT);
        }
        later(settings.rules().responseGrace(), () -> complete(request));
    }

    private void complete(Request request) {
        request.completed = true;
        forgetIfEnded(request);
    }

    private void forgetIfEnded(Request request) {
        if (request.completed && request.inFlight == 0) {
            openRequests.remove(request.incoming.id());
        }
    }

    // ---- attempts ----

    private void connect(Attempt attempt) {
        if (attempt.request.completed) {
            end(attempt, CallOutcome.NOT_SENT);
            return;
        }
        connecting.add(attempt);
        later(random.nextDouble() * CONNECT_MS, () -> write(attempt));
    }

    private void write(Attempt attempt) {
        connecting.remove(attempt);
        if (attempt.ended) {
            return;
        }
        attempt.acceptedBy = fleet.endpoint(attempt.endpoint);
        FakeEndpoint.Response response = attempt.acceptedBy.accept();
        if (Double.isInfinite(response.afterMs())) {
            return;
        }
        boolean streams =
                response.outcome() == CallOutcome.OK && scenario.isStreaming(attempt.request.incoming.requestClass());
        if (streams) {
            later(response.afterMs() / 2, () -> startResponse(attempt));
        }
        later(response.afterMs(), () -> end(attempt, response.outcome()));
    }

    private void startResponse(Attempt attempt) {
        if (!attempt.ended && !attempt.request.completed) {
            attempt.request.streaming = true;
            policy.onResponseStarted(timeline.now(), attempt.request.incoming.id(), attempt.number);
        }
    }

    private void end(Attempt attempt, CallOutcome outcome) {
        if (attempt.ended) {
            return;
        }
        release(attempt);
        Request request = attempt.request;
        request.completed |= outcome == CallOutcome.OK || request.streaming;
        int actualUnits = settings.reportsActualUnits() && outcome == CallOutcome.OK
                ? random.nextInt(request.incoming.units() + 2)
                : 0;
        double[] load = outcome == CallOutcome.OK ? new double[] {random.nextDouble(), Double.NaN} : new double[2];
        policy.onAttemptEnded(
                timeline.now(),
                request.incoming.id(),
                attempt.number,
                outcome,
                timeline.now() - attempt.sentAt,
                request.completed,
                actualUnits,
                load);
        forgetIfEnded(request);
    }

    private static void release(Attempt attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.request.inFlight--;
        if (attempt.acceptedBy != null) {
            attempt.acceptedBy.release();
        }
    }

    /** Resets the connections to an endpoint whose process has ended. */
    void resetConnections(String endpoint) {
        for (Request request : List.copyOf(openRequests.values())) {
            for (Attempt attempt : request.attempts) {
                if (attempt.acceptedBy != null && attempt.endpoint.equals(endpoint)) {
                    later(0, () -> end(attempt, CallOutcome.RESET));
                }
            }
        }
    }

    // ---- actions of the policy ----

    @Override
    public void sendAttempt(long requestId, String endpoint, double timeoutAt) {
        Request request = openRequests.get(requestId);
        if (request != null) {
            Attempt attempt = new Attempt(request, request.attempts.size(), endpoint, timeline.now());
            request.attempts.add(attempt);
            request.inFlight++;
            later(0, () -> connect(attempt));
        }
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        Request request = openRequests.get(requestId);
        if (request != null) {
            later(0, () -> end(request.attempts.get(attempt), CallOutcome.CANCELLED));
        }
    }

    @Override
    public void reject(long requestId, double retryAfterMs) {
        Request request = openRequests.get(requestId);
        if (request != null && !request.completed) {
            complete(request);
            fleet.onRejected(this, request.incoming, retryAfterMs);
        }
    }

    @Override
    public void fail(long requestId) {
        Request request = openRequests.get(requestId);
        if (request != null) {
            complete(request);
        }
    }

    @Override
    public void scheduleTimer(double delayMs, long token) {
        double timerDelayMs = scenario.wholeMilliseconds() ? 0 : TIMER_DELAY_MS;
        later(delayMs + timerDelayMs, () -> policy.onTimer(timeline.now(), token));
    }

    @Override
    public void checkHealth(String endpoint) {
        later(1, () -> policy.onHealthCheck(timeline.now(), endpoint, CallOutcome.OK, 1, new double[2]));
    }

    @Override
    public void addToCounter(long name, double amount, double ttlMs) {
        double calledAt = timeline.now();
        int callingProcess = processNumber;
        fleet.counter().add(name, amount, ttlMs, (outcome, total) -> {
            if (running && processNumber == callingProcess) {
                policy.onCounterReply(timeline.now(), name, outcome, timeline.now() - calledAt, total);
            }
        });
    }

    @Override
    public void subscribeToEndpoints() {
        later(0, () -> fleet.discovery().subscribe(this));
    }

    @Override
    public void withdrawQueuedAttempts(String endpoint) {
        for (Attempt attempt : connecting) {
            if (attempt.endpoint.equals(endpoint)) {
                later(0, () -> end(attempt, CallOutcome.NOT_SENT));
            }
        }
    }

    /** Restores the cordons that operators have set. */
    void restoreCordons(Set<String> cordoned) {
        policy.replaceCordons(timeline.now(), cordoned);
    }
}
