package quotagateway.scale.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Function;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.RetryScope;
import quotagateway.scale.EndpointInventory;

/**
 * Holds what clients and place servers saw against the protocol page's rules. It knows the faults of the run,
 * and excuses only what the page excuses. Each limit has some slack, as the machine is shared with it.
 */
final class Oracle {
    /** A connection that ends so close (ms) to a kill has ended by it. */
    private static final double BEFORE_KILL_MS = 50;

    private static final double AFTER_KILL_MS = 400;
    /** A request that was sent so shortly (ms) before the end of its connection crossed it. */
    private static final double CROSSING_MS = 400;
    /** A kill behind SIGTERM excuses requests that came up to then (ms). */
    private static final double KILL_EXCUSES_UNTIL_MS = 700;

    private static final double LATE_RESPONSE_MS = 500;
    private static final double SENT_AFTER_DISCONNECT_MS = 100;
    private static final double STATED_TIMEOUT_SLACK_MS = 150;
    private static final double SLACK_MS = 150;
    /** News counts as told so long (ms) after discovery had it and could be reached. */
    private static final double NOTIFIED_WITHIN_MS = 6000;
    /** A node may be held up so long (ms) between reading its clock and writing. */
    private static final double NODE_DELAY_MS = 150;

    /** What was seen, which faults there were, and how late something may have been noted at a time. */
    record Observations(
            List<ClientRequest> requests,
            Function<String, List<Execution>> executions,
            Map<Integer, List<ProcessLifetime>> lifetimes,
            List<EndpointChange> endpointChanges,
            List<double[]> discoveryFaults,
            DoubleUnaryOperator lag) {}

    private final Observations observations;
    private final EndpointInventory inventory;
    private final double drainGrace;
    private final List<Violation> violations = new ArrayList<>();

    private Oracle(Observations seen, EndpointInventory servers, double drainGrace) {
        this.observations = seen;
        this.inventory = servers;
        this.drainGrace = drainGrace;
    }

    /** All rules that were broken. */
    static List<Violation> check(Observations seen, EndpointInventory servers, double drainGrace) {
        Oracle oracle = new Oracle(seen, servers, drainGrace);
        for (ClientRequest request : seen.requests) {
            List<Execution> attempts = new ArrayList<>(seen.executions.apply(request.id));
            attempts.sort(Comparator.comparingDouble(a -> a.startedAt));
            oracle.checkResponse(request, attempts);
            oracle.checkRetries(request, attempts);
            oracle.checkAttempts(request, attempts);
        }
        return oracle.violations;
    }

    private double slack(double at) {
        return SLACK_MS + observations.lag.applyAsDouble(at);
    }

    private void report(String rule, ClientRequest request, List<Execution> attempts) {
        StringBuilder what = new StringBuilder(request.toString());
        for (Execution a : attempts) {
            what.append(String.format(
                    "%n    at s%d began %.0f ended %.0f patience %.0f ran %s",
                    a.endpoint, a.startedAt, a.endedAt, a.statedTimeout, a.mayHaveRun));
        }
        for (ProcessLifetime life : observations.lifetimes.getOrDefault(request.node, List.of())) {
            what.append(String.format("%n    %s", life));
        }
        violations.add(new Violation(rule, what.toString()));
    }

    // ---- answers ----

    private void checkResponse(ClientRequest r, List<Execution> attempts) {
        switch (r.end) {
            case WRONG_VALUE -> report("lost, wrong value", r, attempts);
            case NO_ANSWER -> report("lost, no answer", r, attempts);
            case CONNECTION_ENDED -> checkConnectionEnd(r, attempts);
            default -> {}
        }
        if (r.isAnswered()
                && r.sentAt < r.endedAt
                && r.endedAt > Math.max(r.deadline(), r.firstInLineAt) + LATE_RESPONSE_MS + slack(r.endedAt)) {
            report("lost, late answer", r, attempts);
        }
    }

    private void checkConnectionEnd(ClientRequest r, List<Execution> attempts) {
        for (ProcessLifetime life : observations.lifetimes.getOrDefault(r.node, List.of())) {
            boolean atKill = r.endedAt > life.killedAt - BEFORE_KILL_MS && r.endedAt < life.killedAt + AFTER_KILL_MS;
            if (atKill && life.isKilledOutright()) {
                return;
            }
            if (atKill) {
                if (r.sentAt > life.terminatedAt + KILL_EXCUSES_UNTIL_MS) {
                    report("lost at the kill of a shutdown", r, attempts);
                }
                return;
            }
        }
        if (!attempts.isEmpty()) {
            report("lost, forwarded and closed", r, attempts);
        } else if (r.endedAt - r.sentAt > CROSSING_MS + slack(r.endedAt) - SLACK_MS) {
            report("lost, read and closed", r, attempts);
        }
    }

    // ---- repeats ----

    private void checkRetries(ClientRequest r, List<Execution> attempts) {
        for (int i = 1; i < attempts.size(); i++) {
            if (attempts.get(i).startedAt < attempts.get(i - 1).endedAt - slack(attempts.get(i - 1).endedAt)) {
                report("copy, two attempts out", r, attempts);
                break;
            }
        }
        List<Execution> ran = attempts.stream().filter(a -> a.mayHaveRun).toList();
        if (ran.size() < 2 || r.requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return;
        }
        if (r.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            report("duplicate, unsafe", r, attempts);
            return;
        }
        Execution first = ran.get(0);
        for (Execution a : ran.subList(1, ran.size())) {
            if (a.startedAt > first.startedAt + r.requestClass.idempotencyWindow() + slack(a.startedAt)) {
                report("duplicate, behind the window", r, attempts);
                return;
            }
            if (!sameScope(r.requestClass.retryScope(), first.endpoint, a.endpoint)) {
                report("duplicate, in another group", r, attempts);
                return;
            }
        }
    }

    private boolean sameScope(RetryScope group, int one, int other) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> inventory.zone(one) == inventory.zone(other);
            case CELL -> inventory.cell(one) == inventory.cell(other);
        };
    }

    // ---- attempts ----

    private void checkAttempts(ClientRequest r, List<Execution> attempts) {
        for (Execution a : attempts) {
            if (r.end == ClientRequest.End.CLIENT_LEFT
                    && a.startedAt > r.endedAt + SENT_AFTER_DISCONNECT_MS + slack(a.startedAt)) {
                report("lost, sent after the client had gone", r, attempts);
            }
            if (r.sentAt == Double.POSITIVE_INFINITY) {
                report("forwarded, though it never came whole", r, attempts);
            } else if (a.statedTimeout > r.deadline() - a.startedAt + STATED_TIMEOUT_SLACK_MS + slack(a.startedAt)) {
                report("deadline, told more than is left", r, attempts);
            }
            for (EndpointChange news : observations.endpointChanges) {
                if (news.endpoint() == a.endpoint
                        && a.startedAt < news.until()
                        && a.startedAt
                                > news.from()
                                        + notificationDelay(news, a)
                                        + drainGrace
                                        + NODE_DELAY_MS
                                        + SLACK_MS
                                        + slack(a.startedAt)) {
                    report("drain, sent to s" + a.endpoint + " told of at " + Math.round(news.from()), r, attempts);
                }
            }
        }
    }

    /** At once where discovery was well for long before; else as the page allows. */
    private double notificationDelay(EndpointChange news, Execution a) {
        double last = Double.NEGATIVE_INFINITY;
        for (double[] fault : observations.discoveryFaults) {
            if (fault[0] < a.startedAt && fault[1] > news.from() - NOTIFIED_WITHIN_MS) {
                last = Math.max(last, fault[1]);
            }
        }
        return last == Double.NEGATIVE_INFINITY ? 0 : Math.max(0, last - news.from()) + NOTIFIED_WITHIN_MS;
    }
}
