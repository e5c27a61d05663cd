package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.config.GatewayConfig;
import quotagateway.config.Json;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicyEvents;

/**
 * A real node with a scripted policy, connected over loopback sockets to peers that the test controls. A test sets the
 * fields for the configuration, calls {@link #start}, and then reads and writes on the peers' connections.
 */
@Timeout(30)
public abstract class NodeFixture {
    static final String CUSTOMER = "00000000b4d65521";

    /** Maximum wait in seconds for an event at the policy. */
    private static final int EVENT_TIMEOUT_S = 10;

    /**
     * Adds each event to {@link #policyEvents} as a line of text, and handles a request according to its class: most
     * requests are sent to endpoint s0.
     */
    final class ScriptedPolicy implements PolicyEvents {
        PolicyActions actions;
        private Set<String> cordoned = Set.of();
        private int listedEndpoints;

        @Override
        public void onEndpoints(double now, List<EndpointDescriptor> list, boolean complete) {
            StringBuilder text = new StringBuilder(complete ? "whole" : "changes");
            list.forEach(s -> text.append(' ').append(s.id()).append(' ').append(s.state()));
            policyEvents.add(text.toString());
            if (complete) {
                listedEndpoints = list.size();
            }
            list.stream().filter(s -> s.state() == EndpointState.UP).forEach(actions::retainEndpoint);
        }

        @Override
        public int endpointCount() {
            return listedEndpoints;
        }

        @Override
        public boolean setCordoned(double now, String endpoint, boolean cordon) {
            policyEvents.add((cordon ? "cordon " : "uncordon ") + endpoint);
            actions.withdrawQueuedAttempts(endpoint);
            return endpoint.equals("s0");
        }

        @Override
        public void replaceCordons(double now, Set<String> endpoints) {
            if (!endpoints.equals(cordoned)) { // at the start there are usually none
                cordoned = endpoints;
                policyEvents.add("cordons " + endpoints);
            }
        }

        @Override
        public void onDiscoveryFailed(double now) {
            if (recordDiscoveryFailures) {
                policyEvents.add("discovery failed");
            }
        }

        @Override
        public void onRequest(double now, IncomingRequest request) {
            policyEvents.add("arrived " + request.id() + " " + request.requestClass() + " " + request.plan() + " "
                    + request.customer() + " "
                    + request.units()
                    + " " + request.gatewayCount() + " " + request.firstGateway() + " " + request.retry());
            switch (request.requestClass()) {
                case "refuse" -> actions.reject(request.id(), 1500);
                case "fail" -> actions.fail(request.id());
                case "throw" -> throw new IllegalStateException("exception of the scripted policy");
                case "hold" -> {}
                case "stall" -> stallPermits.acquireUninterruptibly(); // blocks the event loop
                case "drop" -> { // completes the request before its connection is up
                    actions.sendAttempt(request.id(), "s0", 0);
                    actions.reject(request.id(), 0);
                }
                case "count" -> {
                    actions.addToCounter(77, -2.5, 4000);
                    actions.addToCounter(77, 1, 4000);
                }
                case "probe" -> actions.checkHealth("s0");
                case "cancel" -> {
                    actions.sendAttempt(request.id(), "s0", 0);
                    actions.scheduleTimer(300, request.id());
                }
                default -> actions.sendAttempt(request.id(), "s0", 0);
            }
        }

        @Override
        public void onResponseStarted(double now, long id, int attempt) {}

        @Override
        public void onAttemptEnded(
                double now,
                long id,
                int attempt,
                CallOutcome outcome,
                double tookMs,
                boolean completed,
                int actualUnits,
                double[] load) {
            policyEvents.add("ended " + id + " " + attempt + " " + outcome + " " + completed);
            if (!completed) {
                actions.fail(id);
            }
        }

        @Override
        public void onClientDisconnected(double now, long id) {
            policyEvents.add("gone " + id);
            if (id == sendNextAfterDisconnectOf) {
                actions.sendAttempt(id + 1, "s0", 0);
            }
        }

        @Override
        public void onTimer(double now, long token) {
            if (timersToFail.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
                throw new IllegalStateException("timer exception of the scripted policy");
            }
            actions.cancelAttempt(token, 0);
        }

        @Override
        public void onHealthCheck(double now, String endpoint, CallOutcome outcome, double tookMs, double[] load) {
            policyEvents.add("probed " + endpoint + " " + outcome + " " + Arrays.toString(load));
        }

        @Override
        public void onCounterReply(double now, long name, CallOutcome outcome, double tookMs, double total) {
            policyEvents.add("counted " + name + " " + outcome + " " + total);
        }
    }

    /** The state directory, shared by the processes of a gateway. */
    @TempDir
    Path stateFolder;

    final BlockingQueue<String> policyEvents = new LinkedBlockingQueue<>();
    /** Resources to close after the test, in this order. */
    final List<AutoCloseable> closeables = new ArrayList<>();

    Peer endpointPeer;
    Peer discoveryPeer;
    Peer counterPeer;
    /** The connection of the node's open watch at discovery. */
    Peer.Connection watchConnection;
    /** The connection that the node opens to its endpoint before any request. */
    Peer.Connection endpointConnection;

    GatewayNode node;
    /** Set by tests that drain the node themselves. */
    boolean drained;

    // ---- for the configuration ----

    int maxSockets = 256;
    int memoryMb = 192;
    /** The listen port; 0 selects a free port. */
    int listenPort;

    int keepAliveMs = 15_000;

    // ---- for the scripted policy ----

    /** Number of timers that still have to fail with an exception. */
    final AtomicInteger timersToFail = new AtomicInteger();

    volatile boolean recordDiscoveryFailures = true;
    /** When the client of the request with this id disconnects, the policy sends an attempt of the next request. */
    volatile long sendNextAfterDisconnectOf;
    /** A request of class stall blocks the event loop until it acquires a permit. */
    final Semaphore stallPermits = new Semaphore(0);

    /** Returns an endpoint in the JSON format of discovery. */
    public static String entry(String id, String dial, String health) {
        return "{\"host\":\"" + id + "\",\"dial\":\"" + dial
                + "\",\"site\":\"a\",\"class\":\"m\",\"block\":3,"
                + "\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
    }

    /** Returns an endpoint list, or changes to a list, in the JSON format of discovery. */
    public static String list(int version, boolean complete, String... entries) {
        return "{\"seq\":" + version + ",\"whole\":" + complete + ",\"hosts\":[" + String.join(",", entries) + "]}";
    }

    /** Sends a line on the watch. */
    void pushToWatch(String line) throws IOException {
        watchConnection.write(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    /** Accepts the node's first watch, which continues from the cached list, and answers without changes. */
    void answerWatch() throws Exception {
        answerWatch(discoveryPeer.awaitConnection());
    }

    /** Answers like {@link #answerWatch()}, on a connection that has already been accepted. */
    void answerWatch(Peer.Connection connection) throws Exception {
        watchConnection = connection;
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", watchConnection.readLine());
        while (!watchConnection.readLine().isEmpty()) {
            assertTrue(watchConnection.socket.isConnected());
        }
        watchConnection.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        pushToWatch("");
    }

    @BeforeEach
    void openPeers() throws IOException {
        endpointPeer = new Peer();
        discoveryPeer = new Peer();
        counterPeer = new Peer();
        closeables.addAll(List.of(endpointPeer, discoveryPeer, counterPeer));
    }

    /** Returns the configuration, with endpoint s0 in its cached list. */
    String configJson() {
        return """
            {"name":"n0","listen":"127.0.0.1:%d","control":"127.0.0.1:0","discovery":"%s",
             "seed":"8c1f30d27a5be964",
             "limits":{"sockets":%d,"memory_mb":%d},"counter":"%s","known":%s,
             "settings":{"rank":0,"group_size":4,"feedback":{"fields":["utilization","outstanding"]},
              "family_info":{"shared_counter":true,"count_limit":80,"most_units":2},
              "limits":{"send_cap":2,"keepalive":%d,"connect_timeout":250,"probing":true},
              "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000},
                {"name":"refuse","effect":"read_like","aim":600,"hard_limit":2000},
                {"name":"write","effect":"idempotency_key","aim":600,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}""".formatted(
                        listenPort,
                        discoveryPeer.address(),
                        maxSockets,
                        memoryMb,
                        counterPeer.address(),
                        list(41, true, entry("s0", endpointPeer.address(), "active")),
                        keepAliveMs);
    }

    /** Returns a node with this configuration and its own scripted policy, without starting the node. */
    GatewayNode newNode(String json) throws IOException {
        ScriptedPolicy policy = new ScriptedPolicy();
        GatewayConfig config = GatewayConfig.of(Json.read(json), Map.of("TMPDIR", stateFolder.toString()));
        return new GatewayNode(config, (settings, seed, now, actions) -> {
            policy.actions = actions;
            assertEquals(4, settings.nodeCount());
            assertEquals(List.of("utilization", "outstanding"), settings.loadFields());
            return policy;
        });
    }

    /** Starts a node, and expects these events and then the cached list at the policy. */
    void start(String... firstEvents) throws Exception {
        node = newNode(configJson());
        Thread answering = new Thread(() -> {
            try {
                answerWatch();
            } catch (Exception e) {
                policyEvents.add("watch: " + e);
            }
        });
        answering.start();
        node.start();
        answering.join();
        endpointConnection = endpointPeer.awaitConnection();
        for (String event : firstEvents) {
            expectEvent(event);
        }
        expectEvent("whole s0 UP");
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : closeables) {
            resource.close();
        }
        if (node != null && !drained) {
            node.drain();
        }
    }

    /** Returns a new client connection to the node. */
    Peer.Connection connectClient() throws IOException {
        Peer.Connection client = Peer.Connection.connect(((InetSocketAddress) node.listenAddress()).getPort());
        closeables.add(client);
        return client;
    }

    /** Calls a node's admin endpoint; returns the status and the body. */
    static List<String> callAdmin(GatewayNode node, String method, String path) throws IOException {
        int port = ((InetSocketAddress) node.adminAddress()).getPort();
        try (Peer.Connection connection = Peer.Connection.connect(port)) {
            connection.write(method + " " + path + " HTTP/1.1\r\nHost: edge\r\n\r\n");
            return readHttpResponse(connection);
        }
    }

    /** Returns the status of an HTTP response, and its body up to the end of the connection. */
    static List<String> readHttpResponse(Peer.Connection connection) throws IOException {
        String status = connection.readLine();
        String header = connection.readLine();
        while (!header.isEmpty()) {
            header = connection.readLine();
        }
        return List.of(status.split(" ", 0)[1], new String(connection.input.readAllBytes(), StandardCharsets.UTF_8));
    }

    /** Sends a request without a value; {@code timeoutMs} is the client's timeout. */
    static void sendGet(Peer.Connection client, String id, String requestClass, int timeoutMs) throws IOException {
        client.sendCommand(
                "CALL.GET", CUSTOMER, id, "c=" + requestClass + ",t=p,d=" + timeoutMs + ",units=2,spread=3,first=1");
    }

    /** Waits for the next event at the policy, which must equal the text. */
    void expectEvent(String text) throws InterruptedException {
        assertEquals(text, policyEvents.poll(EVENT_TIMEOUT_S, TimeUnit.SECONDS));
    }

    /** Waits for the event of a request sent by {@link #sendGet}; the node numbers its requests from 1. */
    void expectRequest(int number, String requestClass) throws InterruptedException {
        expectEvent("arrived " + number + " " + requestClass + " p " + CUSTOMER + " 2 3 1 false");
    }
}
