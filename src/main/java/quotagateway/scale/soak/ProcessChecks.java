package quotagateway.scale.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/** Checks the processes of a run by their start times and by what they wrote to their logs. */
final class ProcessChecks {
    /** Nine processes in ten have to be ready within this. */
    private static final double READY_SOON_MS = 10_000;

    private static final int MAX_LOG_LINES = 20;
    /** Exceptions inside a node; those over what an endpoint sent are the endpoint's fault, and are not among them. */
    private static final Pattern INTERNAL_EXCEPTION = Pattern.compile("(event|module|client connection): .*");

    private final List<NodeSlot> nodes;

    ProcessChecks(List<NodeSlot> nodes) {
        this.nodes = nodes;
    }

    /** Late starts, and what the nodes' own checks and their logs tell. */
    List<Violation> check(Collection<List<ProcessLifetime>> lifetimes) throws IOException {
        List<Violation> violations = new ArrayList<>();
        List<ProcessLifetime> all = lifetimes.stream().flatMap(List::stream).toList();
        long late = all.stream()
                .filter(process -> process.readyAt - process.startedAt > READY_SOON_MS)
                .count();
        if (late * 10 > all.size()) {
            violations.add(new Violation("start", late + " of " + all.size() + " are ready late"));
        }
        for (NodeSlot node : nodes) {
            addLines(violations, "invariant", node, line -> line.contains(" invariant_violated "));
            addLines(
                    violations,
                    "fault in the node",
                    node,
                    line -> INTERNAL_EXCEPTION.matcher(line).matches());
        }
        return violations;
    }

    private static void addLines(List<Violation> violations, String rule, NodeSlot node, Predicate<String> matches)
            throws IOException {
        node.log()
                .lines()
                .filter(matches)
                .limit(MAX_LOG_LINES)
                .forEach(line -> violations.add(new Violation(rule, "n" + node.number + " " + line)));
    }

    /** Adds what the node wrote of the request that a violation names. */
    Violation withLog(Violation found, List<ClientRequest> requests) throws IOException {
        for (ClientRequest request : requests) {
            if (found.what().startsWith("id " + request.id + " ")) {
                StringBuilder text = new StringBuilder(found.what());
                String field = "request=" + request.id;
                nodes.get(request.node)
                        .log()
                        .lines()
                        .filter(line -> line.contains(field + " ") || line.endsWith(field))
                        .limit(MAX_LOG_LINES)
                        .forEach(line -> text.append(String.format("%n    log %s", line)));
                return new Violation(found.rule(), text.toString());
            }
        }
        return found;
    }
}
