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
    private static final double KILL_BEFORE = 50;

    private static final double KILL_BEHIND = 400;
    /** A request that was sent so shortly (ms) before the end of its connection crossed it. */
    private static final double CROSSING = 400;
    /** A kill behind SIGTERM excuses requests that came up to then (ms). */
    private static final double KILL_EXCUSES = 700;

    private static final double ANSWER_LATE = 500;
    private static final double SENT_AFTER_CLIENT = 100;
    private static final double PATIENCE_SLACK = 150;
    private static final double SLACK = 150;
    /** News counts as told so long (ms) after discovery had it and could be reached. */
    private static final double TOLD_WITHIN = 6000;
    /** A node may be held up so long (ms) between reading its clock and writing. */
    private static final double HOLD_UP = 150;

    /** What was seen, which faults there were, and how late something may have been noted at a time. */
    record Seen(
            List<ClientRequest> requests,
            Function<String, List<Execution>> executions,
            Map<Integer, List<ProcessLifetime>> lives,
            List<EndpointChange> news,
            List<double[]> discoveryFaults,
            DoubleUnaryOperator lag) {}

    private final Seen seen;
    private final EndpointInventory servers;
    private final double drainGrace;
    private final List<Violation> violations = new ArrayList<>();

    private Oracle(Seen seen, EndpointInventory servers, double drainGrace) {
        this.seen = seen;
        this.servers = servers;
        this.drainGrace = drainGrace;
    }

    /** All rules that were broken. */
    static List<Violation> check(Seen seen, EndpointInventory servers, double drainGrace) {
        Oracle oracle = new Oracle(seen, servers, drainGrace);
        for (ClientRequest request : seen.requests) {
            List<Execution> attempts = new ArrayList<>(seen.executions.apply(request.id));
            attempts.sort(Comparator.comparingDouble(a -> a.began));
            oracle.answer(request, attempts);
            oracle.repeats(request, attempts);
            oracle.attempts(request, attempts);
        }
        return oracle.violations;
    }

    private double slack(double at) {
        return SLACK + seen.lag.applyAsDouble(at);
    }

    private void broken(String rule, ClientRequest request, List<Execution> attempts) {
        StringBuilder what = new StringBuilder(request.toString());
        for (Execution a : attempts) {
            what.append(String.format(
                    "%n    at s%d began %.0f ended %.0f patience %.0f ran %s",
                    a.server, a.began, a.ended, a.patience, a.ran));
        }
        for (ProcessLifetime life : seen.lives.getOrDefault(request.node, List.of())) {
            what.append(String.format("%n    %s", life));
        }
        violations.add(new Violation(rule, what.toString()));
    }

    // ---- answers ----

    private void answer(ClientRequest r, List<Execution> attempts) {
        switch (r.end) {
            case WRONG_VALUE -> broken("lost, wrong value", r, attempts);
            case NO_ANSWER -> broken("lost, no answer", r, attempts);
            case CONNECTION_ENDED -> connectionEnded(r, attempts);
            default -> {}
        }
        if (r.isAnswered()
                && r.sent < r.ended
                && r.ended > Math.max(r.deadline(), r.turn) + ANSWER_LATE + slack(r.ended)) {
            broken("lost, late answer", r, attempts);
        }
    }

    private void connectionEnded(ClientRequest r, List<Execution> attempts) {
        for (ProcessLifetime life : seen.lives.getOrDefault(r.node, List.of())) {
            boolean atKill = r.ended > life.killed - KILL_BEFORE && r.ended < life.killed + KILL_BEHIND;
            if (atKill && life.isKilledOutright()) {
                return;
            }
            if (atKill) {
                if (r.sent > life.terminated + KILL_EXCUSES) {
                    broken("lost at the kill of a shutdown", r, attempts);
                }
                return;
            }
        }
        if (!attempts.isEmpty()) {
            broken("lost, forwarded and closed", r, attempts);
        } else if (r.ended - r.sent > CROSSING + slack(r.ended) - SLACK) {
            broken("lost, read and closed", r, attempts);
        }
    }

    // ---- repeats ----

    private void repeats(ClientRequest r, List<Execution> attempts) {
        for (int i = 1; i < attempts.size(); i++) {
            if (attempts.get(i).began < attempts.get(i - 1).ended - slack(attempts.get(i - 1).ended)) {
                broken("copy, two attempts out", r, attempts);
                break;
            }
        }
        List<Execution> ran = attempts.stream().filter(a -> a.ran).toList();
        if (ran.size() < 2 || r.type.idempotency() == Idempotency.IDEMPOTENT) {
            return;
        }
        if (r.type.idempotency() == Idempotency.NON_IDEMPOTENT) {
            broken("duplicate, unsafe", r, attempts);
            return;
        }
        Execution first = ran.get(0);
        for (Execution a : ran.subList(1, ran.size())) {
            if (a.began > first.began + r.type.idempotencyWindow() + slack(a.began)) {
                broken("duplicate, behind the window", r, attempts);
                return;
            }
            if (!sameGroup(r.type.retryScope(), first.server, a.server)) {
                broken("duplicate, in another group", r, attempts);
                return;
            }
        }
    }

    private boolean sameGroup(RetryScope group, int one, int other) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> servers.zone(one) == servers.zone(other);
            case CELL -> servers.cell(one) == servers.cell(other);
        };
    }

    // ---- attempts ----

    private void attempts(ClientRequest r, List<Execution> attempts) {
        for (Execution a : attempts) {
            if (r.end == ClientRequest.End.CLIENT_LEFT && a.began > r.ended + SENT_AFTER_CLIENT + slack(a.began)) {
                broken("lost, sent after the client had gone", r, attempts);
            }
            if (r.sent == Double.POSITIVE_INFINITY) {
                broken("forwarded, though it never came whole", r, attempts);
            } else if (a.patience > r.deadline() - a.began + PATIENCE_SLACK + slack(a.began)) {
                broken("deadline, told more than is left", r, attempts);
            }
            for (EndpointChange news : seen.news) {
                if (news.server() == a.server
                        && a.began < news.until()
                        && a.began
                                > news.from() + toldWithin(news, a) + drainGrace + HOLD_UP + SLACK + slack(a.began)) {
                    broken("drain, sent to s" + a.server + " told of at " + Math.round(news.from()), r, attempts);
                }
            }
        }
    }

    /** At once where discovery was well for long before; else as the page allows. */
    private double toldWithin(EndpointChange news, Execution a) {
        double last = Double.NEGATIVE_INFINITY;
        for (double[] fault : seen.discoveryFaults) {
            if (fault[0] < a.began && fault[1] > news.from() - TOLD_WITHIN) {
                last = Math.max(last, fault[1]);
            }
        }
        return last == Double.NEGATIVE_INFINITY ? 0 : Math.max(0, last - news.from()) + TOLD_WITHIN;
    }
}
