package quotagateway.policy.golden;

import java.util.List;
import java.util.Set;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyEvents;

/** Writes every event passed to a policy, and the policy's return value, to a transcript. */
final class RecordedPolicy implements PolicyEvents {
    private final PolicyEvents policy;
    private final Transcript transcript;
    private final int node;

    RecordedPolicy(PolicyEvents policy, Transcript transcript, int node) {
        this.policy = policy;
        this.transcript = transcript;
        this.node = node;
    }

    private Transcript event(String name, double now) {
        return transcript.line(node, name).add(now);
    }

    @Override
    public void onEndpoints(double now, List<EndpointDescriptor> endpoints, boolean complete) {
        event("onEndpoints", now).add(complete);
        for (EndpointDescriptor endpoint : endpoints) {
            transcript
                    .add(endpoint.id())
                    .add(endpoint.cell())
                    .add(endpoint.zone())
                    .add(endpoint.state().name())
                    .add(endpoint.kind())
                    .add(endpoint.startedAt())
                    .add(endpoint.weight())
                    .add(endpoint.address());
        }
        policy.onEndpoints(now, endpoints, complete);
    }

    @Override
    public void onEndpointListStarted(double now) {
        event("onEndpointListStarted", now);
        policy.onEndpointListStarted(now);
    }

    @Override
    public void onEndpointListCompleted(double now) {
        event("onEndpointListCompleted", now);
        policy.onEndpointListCompleted(now);
    }

    @Override
    public void onDiscoveryFailed(double now) {
        event("onDiscoveryFailed", now);
        policy.onDiscoveryFailed(now);
    }

    @Override
    public void onRequest(double now, IncomingRequest request) {
        event("onRequest", now)
                .add(request.id())
                .add(request.requestClass())
                .add(request.plan())
                .add(request.customer())
                .add(request.clientTimeout())
                .add(request.units())
                .add(request.gatewayCount())
                .add(request.firstGateway())
                .add(request.retry());
        policy.onRequest(now, request);
    }

    @Override
    public void onResponseStarted(double now, long requestId, int attempt) {
        event("onResponseStarted", now).add(requestId).add(attempt);
        policy.onResponseStarted(now, requestId, attempt);
    }

    @Override
    public void onAttemptEnded(
            double now,
            long requestId,
            int attempt,
            CallOutcome outcome,
            double tookMs,
            boolean completed,
            int actualUnits,
            double[] load) {
        event("onAttemptEnded", now)
                .add(requestId)
                .add(attempt)
                .add(outcome.name())
                .add(tookMs)
                .add(completed)
                .add(actualUnits);
        for (double value : load) {
            transcript.add(value);
        }
        policy.onAttemptEnded(now, requestId, attempt, outcome, tookMs, completed, actualUnits, load);
    }

    @Override
    public void onClientDisconnected(double now, long requestId) {
        event("onClientDisconnected", now).add(requestId);
        policy.onClientDisconnected(now, requestId);
    }

    @Override
    public void onTimer(double now, long token) {
        event("onTimer", now).add(token);
        policy.onTimer(now, token);
    }

    @Override
    public void onHealthCheck(double now, String endpoint, CallOutcome outcome, double tookMs, double[] load) {
        event("onHealthCheck", now).add(endpoint).add(outcome.name()).add(tookMs);
        policy.onHealthCheck(now, endpoint, outcome, tookMs, load);
    }

    @Override
    public void onCounterReply(double now, long name, CallOutcome outcome, double tookMs, double total) {
        event("onCounterReply", now).add(name).add(outcome.name()).add(tookMs).add(total);
        policy.onCounterReply(now, name, outcome, tookMs, total);
    }

    @Override
    public boolean setCordoned(double now, String endpoint, boolean cordoned) {
        event("setCordoned", now).add(endpoint).add(cordoned);
        boolean known = policy.setCordoned(now, endpoint, cordoned);
        transcript.line(node, "setCordoned returned").add(known);
        return known;
    }

    @Override
    public void replaceCordons(double now, Set<String> endpoints) {
        event("replaceCordons", now);
        endpoints.forEach(transcript::add);
        policy.replaceCordons(now, endpoints);
    }

    @Override
    public int endpointCount() {
        int count = policy.endpointCount();
        transcript.line(node, "endpointCount returned").add(count);
        return count;
    }

    @Override
    public int unavailableEndpointCount(double now) {
        int count = policy.unavailableEndpointCount(now);
        transcript.line(node, "unavailableEndpointCount returned").add(now).add(count);
        return count;
    }
}
