package quotagateway.scale.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.scale.EndpointInventory;

/** The oracle sees each broken rule, and excuses what the protocol page excuses and no more. */
class OracleTest {
    private static final double WINDOW = 2000;
    private static final double GRACE = 250;

    private final List<Execution> attempts = new ArrayList<>();
    private final List<ProcessLifetime> lives = new ArrayList<>();
    private final List<EndpointChange> news = new ArrayList<>();
    private final List<FaultPeriod> discoveryFaults = new ArrayList<>();
    private double lag;

    private static ClientRequest request(Idempotency effect, ClientRequest.End end, double ended) {
        ClientRequest request = new ClientRequest(
                "01", 0, 0, new RequestClass("c", effect, RetryScope.CELL, 500, 1000, 1, 0, WINDOW, false), 1000);
        request.sentAt = 10_000;
        request.end = end;
        request.endedAt = ended;
        return request;
    }

    private void attempt(int server, double began, double ended, boolean ran) {
        Execution attempt = new Execution("01", server, began, 500, ran);
        attempt.endedAt = ended;
        attempts.add(attempt);
    }

    private ProcessLifetime life(double terminated, double killed) {
        ProcessLifetime life = new ProcessLifetime(0, 0, 0);
        life.terminatedAt = terminated;
        life.killedAt = killed;
        lives.add(life);
        return life;
    }

    private List<String> rules(ClientRequest request) {
        return Oracle.check(
                        new Oracle.Observations(
                                List.of(request), id -> attempts, Map.of(0, lives), news, discoveryFaults, at -> lag),
                        new EndpointInventory(30, 3),
                        GRACE)
                .stream()
                .map(Violation::rule)
                .toList();
    }

    private List<String> rules(ClientRequest.End end, double ended) {
        return rules(request(Idempotency.IDEMPOTENT, end, ended));
    }

    @Test
    void requestServedInTimeBreaksNoRule() {
        attempt(1, 10_010, 10_050, true);
        assertEquals(List.of(), rules(ClientRequest.End.SERVED, 10_060));
    }

    @Test
    void wrongMissingAndLateResponsesAreReported() {
        assertEquals(List.of("lost, wrong value"), rules(ClientRequest.End.WRONG_VALUE, 10_100));
        assertEquals(List.of("lost, no answer"), rules(ClientRequest.End.NO_ANSWER, 12_000));
        assertEquals(List.of(), rules(ClientRequest.End.FAILED, 11_640));
        assertEquals(List.of("lost, late answer"), rules(ClientRequest.End.FAILED, 11_660));
    }

    @Test
    void lagOfTheRunItselfIsExcused() {
        lag = 300;
        assertEquals(List.of(), rules(ClientRequest.End.FAILED, 11_940));
        assertEquals(List.of("lost, late answer"), rules(ClientRequest.End.FAILED, 11_960));
    }

    @Test
    void waitForEarlierResponsesOfTheConnectionIsExcused() {
        ClientRequest request = request(Idempotency.IDEMPOTENT, ClientRequest.End.FAILED, 15_600);
        request.firstInLineAt = 15_000;
        assertEquals(List.of(), rules(request));
    }

    @Test
    void connectionClosedOverForwardedRequestIsReported() {
        assertEquals(List.of(), rules(ClientRequest.End.CONNECTION_ENDED, 10_300), "it crossed");
        assertEquals(List.of("lost, read and closed"), rules(ClientRequest.End.CONNECTION_ENDED, 10_500));
        attempt(1, 10_010, 10_300, true);
        assertEquals(List.of("lost, forwarded and closed"), rules(ClientRequest.End.CONNECTION_ENDED, 10_300));
    }

    @Test
    void killExcusesOnlyConnectionsThatEndWithIt() {
        attempt(1, 10_010, 10_800, true);
        ProcessLifetime life = life(Double.POSITIVE_INFINITY, 10_800);
        assertEquals(List.of(), rules(ClientRequest.End.CONNECTION_ENDED, 10_810));
        life.killedAt = 9000;
        assertEquals(List.of("lost, forwarded and closed"), rules(ClientRequest.End.CONNECTION_ENDED, 10_810));
    }

    @Test
    void killDuringShutdownExcusesRequestsSentSoonAfterSigterm() {
        attempt(1, 10_010, 10_800, true);
        ProcessLifetime life = life(9_400, 10_800);
        assertEquals(List.of(), rules(ClientRequest.End.CONNECTION_ENDED, 10_810));
        life.terminatedAt = 9_200;
        assertEquals(List.of("lost at the kill of a shutdown"), rules(ClientRequest.End.CONNECTION_ENDED, 10_810));
    }

    @Test
    void concurrentAndDuplicateAttemptsAreReported() {
        attempt(1, 10_010, 10_500, true);
        attempt(2, 10_300, 10_600, true);
        assertEquals(List.of("copy, two attempts out"), rules(ClientRequest.End.SERVED, 10_610));
        attempts.remove(1);
        attempt(2, 10_600, 10_700, true);
        assertEquals(List.of(), rules(ClientRequest.End.SERVED, 10_710), "safe, one behind the other");
        assertEquals(
                List.of("duplicate, unsafe"),
                rules(request(Idempotency.NON_IDEMPOTENT, ClientRequest.End.SERVED, 10_710)));
        assertEquals(List.of(), rules(request(Idempotency.IDEMPOTENCY_KEY, ClientRequest.End.SERVED, 10_710)));
        attempts.remove(1);
        attempt(9, 10_600, 10_700, true);
        assertEquals(
                List.of("duplicate, in another group"),
                rules(request(Idempotency.IDEMPOTENCY_KEY, ClientRequest.End.SERVED, 10_710)));
        attempts.remove(1);
        attempt(9, 10_600, 10_700, false);
        assertEquals(
                List.of(), rules(request(Idempotency.NON_IDEMPOTENT, ClientRequest.End.FAILED, 10_710)), "turned away");
    }

    @Test
    void keyedRetryAfterTheWindowIsReported() {
        attempt(1, 10_010, 10_100, true);
        attempt(1, 12_200, 12_300, true);
        ClientRequest request = request(Idempotency.IDEMPOTENCY_KEY, ClientRequest.End.SERVED, 10_710);
        assertEquals("duplicate, behind the window", rules(request).get(0));
    }

    @Test
    void attemptAfterDisconnectOrWithTooLongTimeoutIsReported() {
        attempt(1, 10_400, 10_450, true);
        assertEquals(List.of(), rules(ClientRequest.End.CLIENT_LEFT, 10_200));
        assertEquals(List.of("lost, sent after the client had gone"), rules(ClientRequest.End.CLIENT_LEFT, 10_100));
        attempts.clear();
        attempt(1, 10_801, 10_850, true);
        assertEquals(
                List.of("deadline, told more than is left"),
                rules(ClientRequest.End.SERVED, 10_860),
                "500 are told, 199 are left");
    }

    @Test
    void attemptAtDrainingEndpointIsReported() {
        attempt(1, 10_010, 10_100, true);
        news.add(new EndpointChange(1, 9_400, 20_000));
        assertEquals(List.of(), rules(ClientRequest.End.SERVED, 10_110), "within the grace and a hold-up");
        news.set(0, new EndpointChange(1, 9_000, 20_000));
        assertEquals(List.of("drain, sent to s1 told of at 9000"), rules(ClientRequest.End.SERVED, 10_110));
        news.set(0, new EndpointChange(1, 9_000, 10_000));
        assertEquals(List.of(), rules(ClientRequest.End.SERVED, 10_110), "it was back");
        news.set(0, new EndpointChange(1, 9_000, 20_000));
        discoveryFaults.add(FaultPeriod.outage(8_500, 9_500));
        assertEquals(List.of(), rules(ClientRequest.End.SERVED, 10_110), "discovery could not be reached");
    }

    /** A move excuses the node that was moved, for 4 s from the signal and no longer. */
    @Test
    void attemptAtADrainingEndpointBehindAMoveIsReported() {
        attempt(1, 10_010, 10_100, true);
        news.add(new EndpointChange(1, 8_000, 20_000));
        List<String> broken = List.of("drain, sent to s1 told of at 8000");
        discoveryFaults.add(FaultPeriod.moveOf(1, 7_900));
        assertEquals(broken, rules(ClientRequest.End.SERVED, 10_110), "another node was moved");
        discoveryFaults.set(0, FaultPeriod.moveOf(0, 7_900));
        assertEquals(List.of(), rules(ClientRequest.End.SERVED, 10_110));
        discoveryFaults.set(0, FaultPeriod.moveOf(0, 5_200));
        assertEquals(broken, rules(ClientRequest.End.SERVED, 10_110), "told by 9,200, and the grace is over");
        discoveryFaults.add(FaultPeriod.outageOf(0, 5_000, 6_000));
        assertEquals(List.of(), rules(ClientRequest.End.SERVED, 10_110));
    }
}
