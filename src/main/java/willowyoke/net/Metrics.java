package willowyoke.net;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import willowyoke.Gateway;

/**
 * What the node has done, as Prometheus reads it. The counts begin with the process. The loop alone counts
 * and reads; gauges are no state of this class, they are told when the text is written.
 */
final class Metrics {
    /** How a request has ended for its client; one that the client abandoned is counted nowhere. */
    enum Outcome {
        FULFILLED("fulfilled"),
        THROTTLED("throttled"),
        FAULTED("faulted");

        private final String label;

        Outcome(String label) {
            this.label = label;
        }
    }

    static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String PREFIX = "edge_edge_";
    private static final Outcome[] OUTCOMES = Outcome.values();

    private final List<String> classes = new ArrayList<>();
    private final long[][] operations;
    private long relayed;
    /** Counts by reason stand in the text from their first one on. */
    private final Map<Gateway.EndReason, Long> refusals = new EnumMap<>(Gateway.EndReason.class);

    private final Map<Gateway.EndReason, Long> failures = new EnumMap<>(Gateway.EndReason.class);
    private final Map<Gateway.Outcome, Long> retries = new EnumMap<>(Gateway.Outcome.class);
    private final Map<LifecycleGuard.Denial, Long> denials = new EnumMap<>(LifecycleGuard.Denial.class);
    private final Map<LifecycleGuard.Invariant, Long> violations = new EnumMap<>(LifecycleGuard.Invariant.class);
    private final Map<CloseReason, Long> clientCloses = new EnumMap<>(CloseReason.class);
    private final Map<CloseReason, Long> serverCloses = new EnumMap<>(CloseReason.class);

    Metrics(List<Gateway.RequestClass> told) {
        told.forEach(c -> classes.add(c.name()));
        operations = new long[classes.size()][OUTCOMES.length];
    }

    /** A request has its one answer. A class that the settings lack would be a label of a client's making. */
    void ended(String type, Outcome outcome) {
        int i = classes.indexOf(type);
        if (i >= 0) {
            operations[i][outcome.ordinal()]++;
        }
    }

    /** An attempt's last byte is written. */
    void relayed() {
        relayed++;
    }

    /** A request was refused or failed, for this reason; null where the module told none. */
    void unserved(Outcome outcome, Gateway.EndReason reason) {
        if (reason != null) {
            (outcome == Outcome.THROTTLED ? refusals : failures).merge(reason, 1L, Long::sum);
        }
    }

    /** A further attempt goes out behind one that ended so. */
    void retried(Gateway.Outcome after) {
        retries.merge(after, 1L, Long::sum);
    }

    /** An attempt was not written after all. */
    void denied(LifecycleGuard.Denial denial) {
        denials.merge(denial, 1L, Long::sum);
    }

    /** What should hold at any time did not. */
    void violated(LifecycleGuard.Invariant invariant) {
        violations.merge(invariant, 1L, Long::sum);
    }

    void clientClosed(CloseReason reason) {
        clientCloses.merge(reason, 1L, Long::sum);
    }

    void serverClosed(CloseReason reason) {
        serverCloses.merge(reason, 1L, Long::sum);
    }

    String text(int openRequests, int registryEntries, int outOfRotation) {
        StringBuilder text = new StringBuilder();
        head(text, "operations_total", "counter", "Requests ended, by class and outcome.");
        for (int i = 0; i < classes.size(); i++) {
            for (Outcome outcome : OUTCOMES) {
                text.append(PREFIX)
                        .append("operations_total{priority=\"")
                        .append(escaped(classes.get(i)))
                        .append("\",status=\"")
                        .append(outcome.label)
                        .append("\"} ")
                        .append(operations[i][outcome.ordinal()])
                        .append('\n');
            }
        }
        single(text, "relayed_total", "counter", "Attempts written whole to place servers.", relayed);
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
