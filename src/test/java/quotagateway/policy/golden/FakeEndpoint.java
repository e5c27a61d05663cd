package quotagateway.policy.golden;

import java.util.Random;
import quotagateway.policy.api.CallOutcome;

/** A simulated endpoint with slots, a bounded queue, slow start after a restart, and faults on demand. */
final class FakeEndpoint {
    /** How the endpoint behaves at present. */
    enum Mode {
        HEALTHY,
        /** Serves at a fifth of its speed. */
        SLOW,
        /** Responds with errors immediately. */
        ERROR,
        /** Rejects everything as full. */
        FULL,
        /** Accepts and never responds. */
        SILENT,
        /** Accepts no connections. */
        REFUSING,
        /** Resets connections in the middle of a request. */
        RESETTING
    }

    /**
     * How an attempt will end.
     *
     * @param afterMs time from now to the end; infinite if it never ends
     */
    record Response(CallOutcome outcome, double afterMs) {}

    private final Timeline timeline;
    private final Random random;
    private final GoldenScenario scenario;
    private Mode mode = Mode.HEALTHY;
    private double startedAt = Double.NEGATIVE_INFINITY;
    private int inFlight;

    FakeEndpoint(Timeline timeline, Random random, GoldenScenario scenario) {
        this.timeline = timeline;
        this.random = random;
        this.scenario = scenario;
    }

    void setMode(Mode next) {
        mode = next;
    }

    /** Starts a new process: healthy, and slow at first. */
    void restart() {
        mode = Mode.HEALTHY;
        startedAt = timeline.now();
    }

    /** Accepts an attempt; the caller calls {@link #release} when the attempt has ended. */
    Response accept() {
        inFlight++;
        double serviceTimeMs = serviceMs();
        return switch (mode) {
            case ERROR -> new Response(CallOutcome.ERROR, 5);
            case FULL -> new Response(CallOutcome.FULL, 1);
            case SILENT -> new Response(CallOutcome.OK, Double.POSITIVE_INFINITY);
            case REFUSING -> new Response(CallOutcome.NO_CONNECTION, 3);
            case RESETTING -> new Response(CallOutcome.RESET, serviceTimeMs / 2);
            case SLOW -> new Response(CallOutcome.OK, 5 * serviceTimeMs);
            case HEALTHY -> healthyResponse(serviceTimeMs);
        };
    }

    private Response healthyResponse(double serviceTimeMs) {
        if (inFlight > scenario.endpointSlots() + scenario.endpointQueue()) {
            return new Response(CallOutcome.FULL, 1);
        }
        return new Response(random.nextInt(100) == 0 ? CallOutcome.ERROR : CallOutcome.OK, serviceTimeMs);
    }

    /** Returns the time in queue and service, which is longer with more attempts in flight and in slow start. */
    private double serviceMs() {
        double queued = Math.max(1, (double) inFlight / scenario.endpointSlots());
        double speed = Math.min(1, 0.2 + 0.8 * (timeline.now() - startedAt) / scenario.warmUpMs());
        return scenario.serviceMs() * (0.5 - Math.log(1 - random.nextDouble()) / 2) * queued / speed;
    }

    void release() {
        inFlight--;
    }
}
