package quotagateway.simulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyEvents;

/** Turns messages of the simulator's wire into events of a policy. */
final class EventDispatcher {
    private static final Map<String, CallOutcome> OUTCOMES = Map.of(
            "S", CallOutcome.OK,
            "E", CallOutcome.ERROR,
            "F", CallOutcome.FULL,
            "T", CallOutcome.TIMEOUT,
            "C", CallOutcome.NO_CONNECTION,
            "R", CallOutcome.RESET,
            "X", CallOutcome.CANCELLED,
            "N", CallOutcome.NOT_SENT);

    private final MessageReader message;

    EventDispatcher(MessageReader message) {
        this.message = message;
    }

    /** Passes on the message that was read last, and those that belong to it. */
    void dispatch(PolicyEvents policy, double now) throws IOException {
        switch (message.type()) {
            case "MEMBERSHIP" -> dispatchEndpoints(policy, now);
            case "ARRIVAL" -> policy.onRequest(now, request());
            case "ACK_FIRST" ->
                policy.onResponseStarted(now, message.integer(1, "tid"), (int) message.integer(4, "round_no"));
            case "ENDED" -> dispatchAttemptEnd(policy, now);
            case "CANCELLED_BY_CLIENT" -> policy.onClientDisconnected(now, message.integer(1, "tid"));
            case "REMINDER" -> policy.onTimer(now, message.integer(1, "ctx"));
            case "PROBE_RESULT" ->
                policy.onHealthCheck(
                        now,
                        message.text(1, "server"),
                        outcome(2),
                        message.number(3, "cost_time"),
                        message.numbers(4, "health_info"));
            case "COUNTER_REPLY" ->
                policy.onCounterReply(
                        now,
                        message.integer(2, "counter"),
                        outcome(1),
                        message.number(3, "cost_time"),
                        message.numberOrZero(4, "result_value"));
            case "DATAGRAM" -> message.integer(1, "src"); // gateways send each other none
            default -> throw message.malformed("message", "unknown event " + MessageReader.quoted(message.type()));
        }
    }

    private IncomingRequest request() {
        return new IncomingRequest(
                message.integer(1, "tid"),
                message.text(2, "band"),
                message.text(3, "tariff"),
                message.text(4, "holder"),
                message.number(5, "remaining"),
                (int) message.integer(6, "units"),
                (int) message.integer(7, "spread"),
                (int) message.integer(8, "first_door"),
                message.flag(9, "again_by_client"));
    }

    private void dispatchAttemptEnd(PolicyEvents policy, double now) {
        policy.onAttemptEnded(
                now,
                message.integer(1, "tid"),
                (int) message.integer(4, "round_no"),
                outcome(5),
                message.number(6, "cost_time"),
                message.flag(3, "settled"),
                (int) message.integerOrZero(8, "actual"),
                message.numbers(9, "health_info"));
    }

    private CallOutcome outcome(int index) {
        CallOutcome outcome = OUTCOMES.get(message.text(index, "outcome"));
        if (outcome == null) {
            throw message.malformed("outcome", "unknown outcome " + MessageReader.quoted(message.raw(index)));
        }
        return outcome;
    }

    /** An endpoint list: its head, and a message for each endpoint. */
    private void dispatchEndpoints(PolicyEvents policy, double now) throws IOException {
        String kind = message.text(1, "kind");
        if (!List.of("diff", "snapshot", "disk", "error").contains(kind)) {
            throw message.malformed("kind", "unknown list kind " + MessageReader.quoted(kind));
        }
        message.integerOrZero(2, "seq_no");
        long count = message.integerOrZero(3, "items");
        List<EndpointDescriptor> endpoints = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            message.readWithin("list", "items");
            message.expectType("ITEM");
            endpoints.add(endpoint());
        }
        if (kind.equals("error")) {
            policy.onDiscoveryFailed(now);
        } else {
            policy.onEndpoints(now, endpoints, !kind.equals("diff"));
        }
    }

    private EndpointDescriptor endpoint() {
        EndpointState state = switch (message.text(4, "condition")) {
            case "on" -> EndpointState.UP;
            case "fading" -> EndpointState.DRAINING;
            case "off" -> EndpointState.REMOVED;
            default ->
                throw message.malformed("condition", "unknown condition " + MessageReader.quoted(message.raw(4)));
        };
        return new EndpointDescriptor(
                message.text(3, "server"),
                (int) message.integerOrZero(1, "pack"),
                message.text(2, "region_part"),
                state,
                message.text(5, "kind"),
                message.numberOrZero(6, "start_time"),
                message.numberOrZero(7, "units"),
                0);
    }
}
