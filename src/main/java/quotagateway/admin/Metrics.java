package quotagateway.admin;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.Invariant;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.lifecycle.SendDenial;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.RequestClass;

/**
 * What the node has done, as Prometheus reads it. The counts begin with the process. The loop alone counts
 * and reads; gauges are no state of this class, they are told when the text is written.
 */
public final class Metrics {

    static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String PREFIX = "edge_edge_";
    private static final RequestOutcome[] OUTCOMES = RequestOutcome.values();

    private final List<String> classes = new ArrayList<>();
    private final List<Map<RequestOutcome, Long>> operations = new ArrayList<>();
    private long countForwarded;
    /** Counts by reason stand in the text from their first one on. */
    private final Map<FailureReason, Long> refusals = new EnumMap<>(FailureReason.class);

    private final Map<FailureReason, Long> failures = new EnumMap<>(FailureReason.class);
    private final Map<CallOutcome, Long> retries = new EnumMap<>(CallOutcome.class);
    private final Map<SendDenial, Long> denials = new EnumMap<>(SendDenial.class);
    private final Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);
    private final Map<CloseReason, Long> clientCloses = new EnumMap<>(CloseReason.class);
    private final Map<CloseReason, Long> serverCloses = new EnumMap<>(CloseReason.class);

    public Metrics(List<RequestClass> told) {
        for (RequestClass requestClass : told) {
            classes.add(requestClass.name());
            Map<RequestOutcome, Long> counts = new EnumMap<>(RequestOutcome.class);
            for (RequestOutcome outcome : OUTCOMES) {
                counts.put(outcome, 0L);
            }
            operations.add(counts);
        }
    }

    /** A request has its one answer. A class that the settings lack would be a label of a client's making. */
    public void countCompleted(String type, RequestOutcome outcome) {
        int i = classes.indexOf(type);
        if (i >= 0) {
            operations.get(i).merge(outcome, 1L, Long::sum);
        }
    }

    /** An attempt's last byte is written. */
    public void countForwarded() {
        countForwarded++;
    }

    /** A request was refused or failed, for this reason; null where the module told none. */
    public void countUnserved(RequestOutcome outcome, FailureReason reason) {
        if (reason != null) {
            (outcome == RequestOutcome.THROTTLED ? refusals : failures).merge(reason, 1L, Long::sum);
        }
    }

    /** A further attempt goes out behind one that ended so. */
    public void countRetry(CallOutcome after) {
        retries.merge(after, 1L, Long::sum);
    }

    /** An attempt was not written after all. */
    public void countDenied(SendDenial denial) {
        denials.merge(denial, 1L, Long::sum);
    }

    /** What should hold at any time did not. */
    public void countViolation(Invariant invariant) {
        violations.merge(invariant, 1L, Long::sum);
    }

    public void countClientClosed(CloseReason reason) {
        clientCloses.merge(reason, 1L, Long::sum);
    }

    public void countEndpointClosed(CloseReason reason) {
        serverCloses.merge(reason, 1L, Long::sum);
    }

    public String render(int openRequests, int registryEntries, int outOfRotation) {
        StringBuilder text = new StringBuilder();
        head(text, "operations_total", "counter", "Requests ended, by class and outcome.");
        for (int i = 0; i < classes.size(); i++) {
            for (RequestOutcome outcome : OUTCOMES) {
                text.append(PREFIX)
                        .append("operations_total{priority=\"")
                        .append(escaped(classes.get(i)))
                        .append("\",status=\"")
                        .append(outcome.label)
                        .append("\"} ")
                        .append(operations.get(i).get(outcome))
                        .append('\n');
            }
        }
        single(text, "relayed_total", "counter", "Attempts written whole to place servers.", countForwarded);
        single(text, "open_requests", "gauge", "Requests taken and not ended yet.", openRequests);
        single(text, "registry_entries", "gauge", "Place servers in the list.", registryEntries);
        single(
                text,
                "out_of_rotation",
                "gauge",
                "Listed place servers that get nothing new at present.",
                outOfRotation);
        byReason(text, "refusals_total", "Requests refused, by reason.", "reason", refusals);
        byReason(text, "failures_total", "Requests failed, by reason.", "reason", failures);
        byReason(text, "retries_total", "Further attempts, by the outcome of the one before.", "after", retries);
        byReason(text, "client_closes_total", "Clients' connections ended, by reason.", "reason", clientCloses);
        byReason(text, "server_closes_total", "Place servers' connections ended, by reason.", "reason", serverCloses);
        byReason(text, "sends_denied_total", "Attempts not written after all, by reason.", "reason", denials);
        byReason(text, "invariant_violations_total", "Faults of this program, by invariant.", "invariant", violations);
        return text.toString();
    }

    private static <R extends Enum<R>> void byReason(
            StringBuilder text, String name, String help, String label, Map<R, Long> counts) {
        if (counts.isEmpty()) {
            return;
        }
        head(text, name, "counter", help);
        counts.forEach((reason, count) -> text.append(PREFIX)
                .append(name)
                .append('{')
                .append(label)
                .append("=\"")
                .append(reason.name().toLowerCase(Locale.ROOT))
                .append("\"} ")
                .append(count)
                .append('\n'));
    }

    private static void single(StringBuilder text, String name, String type, String help, long value) {
        head(text, name, type, help);
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    private static void head(StringBuilder text, String name, String type, String help) {
        text.append("# HELP ")
                .append(PREFIX)
                .append(name)
                .append(' ')
                .append(help)
                .append('\n')
                .append("# TYPE ")
                .append(PREFIX)
                .append(name)
                .append(' ')
                .append(type)
                .append('\n');
    }

    private static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
