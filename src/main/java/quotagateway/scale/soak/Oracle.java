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
 * Checks what clients and endpoints saw in a run against the rules of the protocol. It knows the faults of the run and
 * excuses only what the protocol excuses. Each limit has some slack, as clients and endpoints share the machine with
 * the nodes and note things late.
 */
final class Oracle {
    /** A connection that ends from so long before a kill to {@link #AFTER_KILL_MS} after it has ended by the kill. */
    private static final double BEFORE_KILL_MS = 50;

    private static final double AFTER_KILL_MS = 400;
    /** A request sent so shortly before its connection was closed may have crossed the close on the way. */
    private static final double CROSSING_MS = 400;
    /** A kill after SIGTERM excuses requests that were sent up to so long after SIGTERM. */
    private static final double KILL_EXCUSES_UNTIL_MS = 700;

    private static final double LATE_RESPONSE_MS = 500;
    private static final double SENT_AFTER_DISCONNECT_MS = 100;
    private static final double STATED_TIMEOUT_SLACK_MS = 150;
    private static final double SLACK_MS = 150;
    /** How long a node may be held up between reading its clock and writing to an endpoint. */
    private static final double NODE_DELAY_MS = 150;

    /**
     * Everything that a run observed.
     *
     * @param executions the attempts that endpoints saw of a request, by its id
     * @param lifetimes the processes of each node, by its number
     * @param lag how late (ms) something that is noted at a time may have been noted
     */
    record Observations(
            List<ClientRequest> requests,
            Function<String, List<Execution>> executions,
            Map<Integer, List<ProcessLifetime>> lifetimes,
            List<EndpointChange> endpointChanges,
            List<FaultPeriod> discoveryFaults,
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

    /**
     * All rules that were broken.
     *
     * @param drainGrace how long (ms) an endpoint may get attempts after a node knows that it drains
     */
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

    private void checkResponse(ClientRequest request, List<Execution> attempts) {
        switch (request.end) {
            case WRONG_VALUE -> report("lost, wrong value", request, attempts);
            case NO_ANSWER -> report("lost, no answer", request, attempts);
            case CONNECTION_ENDED -> checkConnectionEnd(request, attempts);
            default -> {}
        }
        if (request.isAnswered()
                && request.sentAt < request.endedAt
                && request.endedAt
                        > Math.max(request.deadline(), request.firstInLineAt)
                                + LATE_RESPONSE_MS
                                + slack(request.endedAt)) {
            report("lost, late answer", request, attempts);
        }
    }

    private void checkConnectionEnd(ClientRequest request, List<Execution> attempts) {
        for (ProcessLifetime life : observations.lifetimes.getOrDefault(request.node, List.of())) {
            boolean atKill =
                    request.endedAt > life.killedAt - BEFORE_KILL_MS && request.endedAt < life.killedAt + AFTER_KILL_MS;
            if (atKill && life.isKilledOutright()) {
                return;
            }
            if (atKill) {
                if (request.sentAt > life.terminatedAt + KILL_EXCUSES_UNTIL_MS) {
                    report("lost at the kill of a shutdown", request, attempts);
                }
                return;
            }
        }
        if (!attempts.isEmpty()) {
            report("lost, forwarded and closed", request, attempts);
        } else if (request.endedAt - request.sentAt > CROSSING_MS + slack(request.endedAt) - SLACK_MS) {
            report("lost, read and closed", request, attempts);
        }
    }

    // ---- repeats ----

    private void checkRetries(ClientRequest request, List<Execution> attempts) {
        for (int i = 1; i < attempts.size(); i++) {
            if (attempts.get(i).startedAt < attempts.get(i - 1).endedAt - slack(attempts.get(i - 1).endedAt)) {
                report("copy, two attempts out", request, attempts);
                break;
            }
        }
        List<Execution> ran = attempts.stream().filter(a -> a.mayHaveRun).toList();
        if (ran.size() < 2 || request.requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return;
        }
        if (request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            report("duplicate, unsafe", request, attempts);
            return;
        }
        Execution first = ran.get(0);
        for (Execution a : ran.subList(1, ran.size())) {
            if (a.startedAt > first.startedAt + request.requestClass.idempotencyWindow() + slack(a.startedAt)) {
                report("duplicate, behind the window", request, attempts);
                return;
            }
            if (!sameScope(request.requestClass.retryScope(), first.endpoint, a.endpoint)) {
                report("duplicate, in another group", request, attempts);
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

    private void checkAttempts(ClientRequest request, List<Execution> attempts) {
        for (Execution a : attempts) {
            if (request.end == ClientRequest.End.CLIENT_LEFT
                    && a.startedAt > request.endedAt + SENT_AFTER_DISCONNECT_MS + slack(a.startedAt)) {
                report("lost, sent after the client had gone", request, attempts);
            }
            if (request.sentAt == Double.POSITIVE_INFINITY) {
                report("forwarded, though it never came whole", request, attempts);
            } else if (a.statedTimeout
                    > request.deadline() - a.startedAt + STATED_TIMEOUT_SLACK_MS + slack(a.startedAt)) {
                report("deadline, told more than is left", request, attempts);
            }
            for (EndpointChange news : observations.endpointChanges) {
                if (news.endpoint() == a.endpoint
                        && a.startedAt < news.until()
                        && a.startedAt
                                > news.from()
                                        + notificationDelay(news, a, request.node)
                                        + drainGrace
                                        + NODE_DELAY_MS
                                        + SLACK_MS
                                        + slack(a.startedAt)) {
                    report(
                            "drain, sent to s" + a.endpoint + " told of at " + Math.round(news.from()),
                            request,
                            attempts);
                }
            }
        }
    }

    /** How long (ms) after a change a node may not know of it: 0 unless discovery was disturbed around it. */
    private double notificationDelay(EndpointChange news, Execution a, int node) {
        return observations.discoveryFaults.stream()
                .mapToDouble(fault -> fault.notificationDelay(node, news.from(), a.startedAt))
                .max()
                .orElse(0);
    }
}
