package quotagateway.policy.golden;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import quotagateway.policy.api.CallOutcome;

/** The shared counter: one queue of calls served at a limited rate, and faults on demand. */
final class FakeCounter {
    /** How the counter behaves at present. */
    enum Mode {
        HEALTHY,
        /** Adds, and replies to most calls late. */
        LATE,
        /** Neither adds nor replies. */
        SILENT,
        /** Rejects without adding. */
        FULL,
        /** Replies with an error without adding. */
        ERROR,
        /** Breaks the connection; half of the calls were added by then. */
        RESET
    }

    /** Takes the end of a call. */
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

    /** Forgets all totals, as a counter that lost its memory. */
    void loseTotals() {
        totals.clear();
    }

    /** Queues a call; its reply comes on the timeline, no later than the time limit. */
    void add(long name, double amount, double keepForMs, Reply reply) {
        double asked = timeline.now();
        switch (mode) {
            case SILENT -> timeline.after(timeoutMs, () -> reply.onReply(CallOutcome.TIMEOUT, 0));
            case FULL -> timeline.after(roundTripMs, () -> reply.onReply(CallOutcome.FULL, 0));
            case ERROR -> timeline.after(roundTripMs, () -> reply.onReply(CallOutcome.ERROR, 0));
            case RESET -> {
                if (random.nextBoolean()) {
                    addNow(name, amount, keepForMs);
                }
                timeline.after(roundTripMs, () -> reply.onReply(CallOutcome.RESET, 0));
            }
            default -> {
                queueEmptyAt = Math.max(queueEmptyAt, asked + roundTripMs / 2) + msPerCall;
                double repliedAt = queueEmptyAt + roundTripMs / 2 + (mode == Mode.LATE ? timeoutMs * 0.8 : 0);
                boolean inTime = repliedAt - asked < timeoutMs;
                timeline.after(queueEmptyAt - asked, () -> {
                    double total = addNow(name, amount, keepForMs);
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

    private double addNow(long name, double amount, double keepForMs) {
        Total total = totals.get(name);
        if (total == null || total.expiresAt <= timeline.now()) {
            total = new Total();
            total.expiresAt = timeline.now() + keepForMs;
            totals.put(name, total);
        }
        total.sum += amount;
        return total.sum;
    }
}
