package quotagateway.admin;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.Invariant;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.lifecycle.SendDenial;
import quotagateway.lifecycle.StreamEnd;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.RequestClass;

/**
 * Counts events since the start of the gateway, for Prometheus to scrape. Used only on the event loop. Gauges are not
 * stored here: their values are passed in when the text is rendered. Label values come from the enum constants; names
 * and labels of the metrics are part of the interface to operators.
 */
public final class Metrics {
    static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final RequestOutcome[] OUTCOMES = RequestOutcome.values();

    /** Names of the request classes. */
    private final List<String> classNames = new ArrayList<>();
    /** Number of requests by outcome, with the index of the class in {@link #classNames}. */
    private final List<Map<RequestOutcome, Long>> requestsByClass = new ArrayList<>();

    private long forwardedAttempts;
    private final Map<FailureReason, Long> rejections = new EnumMap<>(FailureReason.class);
    private final Map<FailureReason, Long> failures = new EnumMap<>(FailureReason.class);
    private final Map<CallOutcome, Long> retries = new EnumMap<>(CallOutcome.class);
    private final Map<SendDenial, Long> denials = new EnumMap<>(SendDenial.class);
    private final Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);
    private final Map<StreamEnd, Long> streamEnds = new EnumMap<>(StreamEnd.class);
    private final Map<CloseReason, Long> clientCloses = new EnumMap<>(CloseReason.class);
    private final Map<CloseReason, Long> endpointCloses = new EnumMap<>(CloseReason.class);

    /** Counts requests of these classes; each class has samples for all outcomes from the start. */
    public Metrics(List<RequestClass> requestClasses) {
        for (RequestClass requestClass : requestClasses) {
            classNames.add(requestClass.name());
            Map<RequestOutcome, Long> counts = new EnumMap<>(RequestOutcome.class);
            for (RequestOutcome outcome : OUTCOMES) {
                counts.put(outcome, 0L);
            }
            requestsByClass.add(counts);
        }
    }

    /**
     * Counts a request that has its final response. A class that is not in the settings is not counted, as otherwise
     * clients could create arbitrary labels.
     */
    public void countCompleted(String requestClass, RequestOutcome outcome) {
        int index = classNames.indexOf(requestClass);
        if (index >= 0) {
            increment(requestsByClass.get(index), outcome);
        }
    }

    /** Counts an attempt whose last byte has been written. */
    public void countForwarded() {
        forwardedAttempts++;
    }

    /** Counts a request that was rejected or failed; the reason is null if the policy gave none. */
    public void countUnserved(RequestOutcome outcome, FailureReason reason) {
        if (reason != null) {
            increment(outcome == RequestOutcome.THROTTLED ? rejections : failures, reason);
        }
    }

    /** Counts a further attempt, which follows one with this outcome. */
    public void countRetry(CallOutcome previousOutcome) {
        increment(retries, previousOutcome);
    }

    /** Counts an attempt that the policy had decided on and that was not written. */
    public void countDenied(SendDenial denial) {
        increment(denials, denial);
    }

    /** Counts a violation of an invariant of this program. */
    public void countViolation(Invariant invariant) {
        increment(violations, invariant);
    }

    /** Counts a streamed response that has ended. */
    public void countStreamEnd(StreamEnd end) {
        increment(streamEnds, end);
    }

    /** Counts a client connection that has ended. */
    public void countClientClosed(CloseReason reason) {
        increment(clientCloses, reason);
    }

    /** Counts a connection to an endpoint that has ended. */
    public void countEndpointClosed(CloseReason reason) {
        increment(endpointCloses, reason);
    }

    private static <E extends Enum<E>> void increment(Map<E, Long> counts, E key) {
        counts.merge(key, 1L, Long::sum);
    }

    /**
     * Renders all metrics.
     *
     * @param openRequests number of accepted requests without their final response
     * @param listedEndpoints number of endpoints in the endpoint list
     * @param unavailableEndpoints number of listed endpoints that currently get no new attempts
     */
    public String render(int openRequests, int listedEndpoints, int unavailableEndpoints) {
        PrometheusText text = new PrometheusText();
        renderRequests(text);
        text.singleSample("relayed_total", "counter", "Attempts written whole to place servers.", forwardedAttempts);
        text.singleSample("open_requests", "gauge", "Requests taken and not ended yet.", openRequests);
        text.singleSample("registry_entries", "gauge", "Place servers in the list.", listedEndpoints);
        text.singleSample(
                "out_of_rotation",
                "gauge",
                "Listed place servers that get nothing new at present.",
                unavailableEndpoints);
        text.countsBy("reason", "refusals_total", "Requests refused, by reason.", rejections);
        text.countsBy("reason", "failures_total", "Requests failed, by reason.", failures);
        text.countsBy("after", "retries_total", "Further attempts, by the outcome of the one before.", retries);
        text.countsBy("end", "streams_total", "Values above 64 KiB passed on to clients, by end.", streamEnds);
        text.countsBy("reason", "client_closes_total", "Clients' connections ended, by reason.", clientCloses);
        text.countsBy("reason", "server_closes_total", "Place servers' connections ended, by reason.", endpointCloses);
        text.countsBy("reason", "sends_denied_total", "Attempts not written after all, by reason.", denials);
        text.countsBy("invariant", "invariant_violations_total", "Faults of this program, by invariant.", violations);
        return text.toString();
    }

    private void renderRequests(PrometheusText text) {
        text.header("operations_total", "counter", "Requests ended, by class and outcome.");
        for (int i = 0; i < classNames.size(); i++) {
            String classLabel = PrometheusText.label("priority", classNames.get(i));
            for (RequestOutcome outcome : OUTCOMES) {
                String labels = classLabel + "," + PrometheusText.label("status", outcome.label);
                text.sample("operations_total", labels, requestsByClass.get(i).get(outcome));
            }
        }
    }
}
