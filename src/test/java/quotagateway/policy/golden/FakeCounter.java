package quotagateway.policy.golden;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import quotagateway.policy.api.CallOutcome;

/** A simulated shared counter that serves one queue of calls at a limited rate, with faults on demand. */
final class FakeCounter {
    /** How the counter behaves at present. */
    enum Mode {
        HEALTHY,
        /** Adds, but replies late to most calls. */
        LATE,
        /** Neither adds nor replies. */
        SILENT,
        /** Rejects without adding. */
        FULL,
        /** Replies with an error without adding. */
        ERROR,
        /** Resets the connection; half of the calls are added before that. */
        RESET
    }

    /** Receives the outcome of a call. */
    @FunctionalInterface
    interface Reply {
        void onReply(CallOutcome outcome, double total);
    }

    private static final class Total {
        double sum;
        double expiresAt;
    }

    private final Timeline timeline;
    private final Random random;
    private final double msPerCall;
    private final double roundTripMs;
    private final double timeoutMs;
    private final Map<Long, Total> totals = new HashMap<>();
    private double queueEmptyAt;
    private Mode mode = Mode.HEALTHY;

    FakeCounter(Timeline timeline, Random random, GoldenScenario scenario) {
        this.timeline = timeline;
        this.random = random;
        msPerCall = 1000 / scenario.counterCallsPerSecond();
        roundTripMs = scenario.counterRoundTripMs();
        timeoutMs = scenario.settings(0).capabilities().counterTimeout();
    }

    void setMode(Mode next) {
        mode = next;
    }

    /** Clears all totals, like a counter that has lost its data. */
    void clearTotals() {
        totals.clear();
    }

    /** Queues a call; its reply is scheduled on the timeline, no later than the timeout. */
    void add(long name, double amount, double ttlMs, Reply reply) {
        double calledAt = timeline.now();
        switch (mode) {
            case SILENT -> timeline.after(timeoutMs, () -> reply.onReply(CallOutcome.TIMEOUT, 0));
            case FULL -> timeline.after(roundTripMs, () -> reply.onReply(CallOutcome.FULL, 0));
            case ERROR -> timeline.after(roundTripMs, () -> reply.onReply(CallOutcome.ERROR, 0));
            case RESET -> {
                if (random.nextBoolean()) {
                    addNow(name, amount, ttlMs);
                }
                timeline.after(roundTripMs, () -> reply.onReply(CallOutcome.RESET, 0));
            }
            default -> {
                queueEmptyAt = Math.max(queueEmptyAt, calledAt + roundTripMs / 2) + msPerCall;
                double repliedAt = queueEmptyAt + roundTripMs / 2 + (mode == Mode.LATE ? timeoutMs * 0.8 : 0);
                boolean inTime = repliedAt - calledAt < timeoutMs;
                timeline.after(queueEmptyAt - calledAt, () -> {
                    double total = addNow(name, amount, ttlMs);
                    if (inTime) {
                        timeline.after(repliedAt - timeline.now(), () -> reply.onReply(CallOutcome.OK, total));
                    }
                });
                if (!inTime) {
                    timeline.after(timeoutMs, () -> reply.onReply(CallOutcome.TIMEOUT, 0));
                }
            }
        }
    }

    private double addNow(long name, double amount, double ttlMs) {
        Total total = totals.get(name);
        if (total == null || total.expiresAt <= timeline.now()) {
            total = new Total();
            total.expiresAt = timeline.now() + ttlMs;
            totals.put(name, total);
        }
        total.sum += amount;
        return total.sum;
    }
}
