package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import quotagateway.admin.MemoryMetrics;
import quotagateway.admin.Metrics;
import quotagateway.lifecycle.CloseReason;
import quotagateway.lifecycle.RequestOutcome;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.transport.DirectMemory;

/** The metrics as a scrape returns them. */
class MetricsTest extends NodeFixture {
    private static Map<String, Long> samples(String text) {
        Map<String, Long> samples = new TreeMap<>();
        text.lines().filter(line -> !line.startsWith("#")).forEach(line -> {
            int space = line.lastIndexOf(' ');
            samples.put(line.substring(0, space).replace("edge_edge_", ""), Long.parseLong(line.substring(space + 1)));
        });
        return samples;
    }

    private Map<String, Long> scrape() throws Exception {
        List<String> answer = callAdmin(node, "GET", "/admin/stats");
        assertEquals("200", answer.get(0));
        return samples(answer.get(1));
    }

    private static String operations(String requestClass, String status) {
        return "operations_total{priority=\"" + requestClass + "\",status=\"" + status + "\"}";
    }

    @Test
    void metricsStartAtZero() {
        Metrics metrics = new Metrics(
                List.of(new RequestClass("a\"b\\", Idempotency.IDEMPOTENT, RetryScope.ALL, 1, 1, 1, 0, 0, false)));
        assertEquals("""
            # HELP edge_edge_operations_total Requests ended, by class and outcome.
            # TYPE edge_edge_operations_total counter
            edge_edge_operations_total{priority="a\\"b\\\\",status="fulfilled"} 0
            edge_edge_operations_total{priority="a\\"b\\\\",status="throttled"} 0
            edge_edge_operations_total{priority="a\\"b\\\\",status="faulted"} 0
            # HELP edge_edge_relayed_total Attempts written whole to place servers.
            # TYPE edge_edge_relayed_total counter
            edge_edge_relayed_total 0
            # HELP edge_edge_open_requests Requests taken and not ended yet.
            # TYPE edge_edge_open_requests gauge
            edge_edge_open_requests 7
            # HELP edge_edge_registry_entries Place servers in the list.
            # TYPE edge_edge_registry_entries gauge
            edge_edge_registry_entries 8
            # HELP edge_edge_out_of_rotation Listed place servers that get nothing new at present.
            # TYPE edge_edge_out_of_rotation gauge
            edge_edge_out_of_rotation 9
            """, metrics.render(7, 8, 9));
        metrics.countCompleted("no class of the settings", RequestOutcome.FAULTED);
        assertEquals(
                0,
                samples(metrics.render(0, 0, 0)).values().stream()
                        .mapToLong(n -> n)
                        .sum());
    }

    @Test
    void directMemoryIsReportedAgainstItsLimit() {
        DirectMemory memory = new DirectMemory(() -> 1, () -> 2, 3);
        assertEquals(
                Map.of(
                        "direct_memory_in_use_bytes",
                        1L,
                        "direct_memory_reserved_bytes",
                        2L,
                        "direct_memory_limit_bytes",
                        3L),
                samples(new MemoryMetrics(memory).render()));
    }

    @Test
    void outcomesAreCountedOnceAndAttemptsWhenWritten() throws Exception {
        start();
        assertEquals(1, scrape().get("registry_entries"));
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 5000);
        assertEquals("01", endpointConnection.readMessage().get(2));
        assertEquals(1, scrape().get("open_requests"));
        endpointConnection.sendValue("v");
        client.readMessage();
        sendGet(client, "02", "read", 5000);
        endpointConnection.readMessage();
        endpointConnection.write("-ERR failed\r\n");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        sendGet(client, "03", "read", 5000);
        endpointConnection.readMessage();
        assertEquals(3, scrape().get("relayed_total"));
        Peer.Connection otherClient = connectClient();
        List<String> requestClasses = new ArrayList<>(List.of("refuse", "hold", "fail"));
        for (String requestClass : requestClasses) { // the last two are not classes of the settings and get no label
            sendGet(otherClient, requestClass, requestClass, 100);
        }
        for (int i = 0; i < requestClasses.size(); i++) {
            otherClient.readMessage();
        }
        client.close(); // an abandoned request is not counted
        for (String event = this.policyEvents.take(); !event.equals("gone 3"); event = this.policyEvents.take()) {
            assertTrue(!event.startsWith("gone 1"));
        }
        Map<String, Long> all = scrape();
        assertEquals(1, all.get(operations("read", "fulfilled")));
        assertEquals(0, all.get(operations("read", "throttled")));
        assertEquals(1, all.get(operations("read", "faulted")));
        assertEquals(0, all.get(operations("write", "fulfilled")));
        assertEquals(1, all.get(operations("refuse", "throttled")));
        assertEquals(
                9, all.keySet().stream().filter(k -> k.startsWith("operations")).count());
        assertEquals(0, all.get("open_requests"));
        assertEquals(3, all.get("relayed_total"));
        assertEquals(0, all.get("out_of_rotation"));
    }

    @Test
    void rejectionsRetriesAndClosesAreCountedByReason() {
        Metrics metrics = new Metrics(List.of());
        metrics.countUnserved(RequestOutcome.THROTTLED, FailureReason.QUOTA_SHORT);
        metrics.countUnserved(RequestOutcome.FAULTED, FailureReason.DEADLINE);
        metrics.countUnserved(RequestOutcome.FAULTED, FailureReason.DEADLINE);
        metrics.countUnserved(RequestOutcome.FAULTED, null);
        metrics.countRetry(CallOutcome.RESET);
        metrics.countClientClosed(CloseReason.SHUTDOWN_IDLE);
        metrics.countEndpointClosed(CloseReason.RETIRED);
        Map<String, Long> samples = samples(metrics.render(0, 0, 0));
        samples.values().removeIf(n -> n == 0);
        assertEquals(
                Map.of(
                        "refusals_total{reason=\"quota_short\"}",
                        1L,
                        "failures_total{reason=\"deadline\"}",
                        2L,
                        "retries_total{after=\"reset\"}",
                        1L,
                        "client_closes_total{reason=\"shutdown_idle\"}",
                        1L,
                        "server_closes_total{reason=\"retired\"}",
                        1L),
                samples);
    }
}
