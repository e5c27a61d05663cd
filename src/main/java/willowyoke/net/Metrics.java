package willowyoke.net;

import java.util.ArrayList;
import java.util.List;
import willowyoke.Gateway;

/**
 * What the node has done, as Prometheus reads it. The counts begin with the process. The loop alone counts
 * and reads; gauges are no state of this class, they are told when the text is written.
 */
final class Metrics {
    /** How a request has ended for its client; one that the client abandoned is counted nowhere. */
    enum Outcome {
        FULFILLED("fulfilled"), THROTTLED("throttled"), FAULTED("faulted");

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

    String text(int openRequests, int registryEntries, int outOfRotation) {
        StringBuilder text = new StringBuilder();
        head(text, "operations_total", "counter", "Requests ended, by class and outcome.");
        for (int i = 0; i < classes.size(); i++) {
            for (Outcome outcome : OUTCOMES) {
                text.append(PREFIX).append("operations_total{priority=\"").append(escaped(classes.get(i)))
                    .append("\",status=\"").append(outcome.label).append("\"} ")
                    .append(operations[i][outcome.ordinal()]).append('\n');
            }
        }
        single(text, "relayed_total", "counter", "Attempts written whole to place servers.", relayed);
        single(text, "open_requests", "gauge", "Requests taken and not ended yet.", openRequests);
        single(text, "registry_entries", "gauge", "Place servers in the list.", registryEntries);
        single(text, "out_of_rotation", "gauge", "Listed place servers that get nothing new at present.",
            outOfRotation);
        return text.toString();
    }

    private static void single(StringBuilder text, String name, String type, String help, long value) {
        head(text, name, type, help);
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    private static void head(StringBuilder text, String name, String type, String help) {
        text.append("# HELP ").append(PREFIX).append(name).append(' ').append(help).append('\n')
            .append("# TYPE ").append(PREFIX).append(name).append(' ').append(type).append('\n');
    }

    private static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
