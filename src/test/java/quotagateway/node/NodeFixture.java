package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
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

/** A real edge node between peers on loopback sockets, with a scripted module for the decisions. */
@Timeout(30)
public abstract class NodeFixture {
    static final String CUSTOMER = "00000000b4d65521";

    /** Notes what it is told and acts by the class of a request: most go to server s0. */
    final class Script implements PolicyEvents {
        PolicyActions act;
        private Set<String> cordoned = Set.of();
        private int listed;

        @Override
        public void onEndpoints(double now, List<EndpointDescriptor> list, boolean whole) {
            StringBuilder text = new StringBuilder(whole ? "whole" : "changes");
            list.forEach(s -> text.append(' ').append(s.id()).append(' ').append(s.state()));
            told.add(text.toString());
            if (whole) {
                listed = list.size();
            }
            list.stream().filter(s -> s.state() == EndpointState.UP).forEach(act::retainEndpoint);
        }

        @Override
        public int endpointCount() {
            return listed;
        }

        @Override
        public boolean setCordoned(double now, String server, boolean out) {
            told.add((out ? "cordon " : "uncordon ") + server);
            act.withdrawQueuedAttempts(server);
            return server.equals("s0");
        }

        @Override
        public void replaceCordons(double now, Set<String> servers) {
            if (!servers.equals(cordoned)) { // the first telling is of none, as a rule
                cordoned = servers;
                told.add("cordons " + servers);
            }
        }

        @Override
        public void onDiscoveryFailed(double now) {
            if (tellSilence) {
                told.add("discovery failed");
            }
        }

        @Override
        public void onRequest(double now, IncomingRequest r) {
            told.add("arrived " + r.id() + " " + r.requestClass() + " " + r.plan() + " " + r.customer() + " "
                    + r.units()
                    + " " + r.gatewayCount() + " " + r.firstGateway() + " " + r.retry());
            switch (r.requestClass()) {
                case "refuse" -> act.reject(r.id(), 1500);
                case "fail" -> act.fail(r.id());
                case "throw" -> throw new IllegalStateException("on purpose");
                case "hold" -> {}
                case "stall" -> stall.acquireUninterruptibly(); // the loop sees nothing meanwhile
                case "drop" -> { // over before the connection for it is up
                    act.sendAttempt(r.id(), "s0", 0);
                    act.reject(r.id(), 0);
                }
                case "count" -> {
                    act.addToCounter(77, -2.5, 4000);
                    act.addToCounter(77, 1, 4000);
                }
                case "probe" -> act.checkHealth("s0");
                case "cancel" -> {
                    act.sendAttempt(r.id(), "s0", 0);
                    act.scheduleTimer(300, r.id());
                }
                default -> act.sendAttempt(r.id(), "s0", 0);
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
                double took,
                boolean over,
                int trueUnits,
                double[] load) {
            told.add("ended " + id + " " + attempt + " " + outcome + " " + over);
            if (!over) {
                act.fail(id);
            }
        }

        @Override
        public void onClientDisconnected(double now, long id) {
            told.add("gone " + id);
            if (id == sendAfter) {
                act.sendAttempt(id + 1, "s0", 0);
            }
        }

        @Override
        public void onTimer(double now, long token) {
            if (failTimers.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                throw new IllegalStateException("timer on purpose");
            }
            act.cancelAttempt(token, 0);
        }

        @Override
        public void onHealthCheck(double now, String server, CallOutcome outcome, double took, double[] load) {
            told.add("probed " + server + " " + outcome + " " + java.util.Arrays.toString(load));
        }

        @Override
        public void onCounterReply(double now, long name, CallOutcome outcome, double took, double total) {
            told.add("counted " + name + " " + outcome + " " + total);
        }
    }

    /** The folder that is kept when a new version comes up beside this one. */
    @TempDir
    Path state;

    final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    final List<AutoCloseable> open = new ArrayList<>();
    Peer app;
    Peer discovery;
    Peer counter;
    Peer.Line watch;
    Peer.Line server;
    GatewayNode node;
    boolean drained;
    int sockets = 256;
    int listen;
    int keepAlive = 15_000;
    final AtomicInteger failTimers = new AtomicInteger();
    volatile boolean tellSilence = true;
    /** When this request's client goes, the next request's turn comes. */
    volatile long sendAfter;

    final Semaphore stall = new Semaphore(0);

    public static String entry(String id, String dial, String health) {
        return "{\"host\":\"" + id + "\",\"dial\":\"" + dial
                + "\",\"site\":\"a\",\"class\":\"m\",\"block\":3,"
                + "\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
    }

    public static String list(int seq, boolean whole, String... entries) {
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", entries) + "]}";
    }

    void push(String line) throws IOException {
        watch.write(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    void answerWatch() throws Exception {
        answerWatch(discovery.accept());
    }

    void answerWatch(Peer.Line connection) throws Exception {
        watch = connection;
        assertEquals("GET /catalog/members?follow=1&since=41 HTTP/1.1", watch.line());
        while (!watch.line().isEmpty()) {
            assertTrue(watch.socket.isConnected());
        }
        watch.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        push("");
    }

    @BeforeEach
    void peers() throws IOException {
        app = new Peer();
        discovery = new Peer();
        counter = new Peer();
        open.addAll(List.of(app, discovery, counter));
    }

    String config() {
        return """
            {"name":"n0","listen":"127.0.0.1:%d","control":"127.0.0.1:0","discovery":"%s",
             "seed":"8c1f30d27a5be964",
             "limits":{"sockets":%d},"counter":"%s","known":%s,
             "settings":{"rank":0,"group_size":4,"feedback":{"fields":["utilization","outstanding"]},
              "family_info":{"shared_counter":true,"count_limit":80,"most_units":2},
              "limits":{"send_cap":2,"keepalive":%d,"connect_timeout":250,"probing":true},
              "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000},
                {"name":"refuse","effect":"read_like","aim":600,"hard_limit":2000},
                {"name":"write","effect":"idempotency_key","aim":600,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}""".formatted(
                        listen,
                        discovery.address(),
                        sockets,
                        counter.address(),
                        list(41, true, entry("s0", app.address(), "active")),
                        keepAlive);
    }

    /** Starts, and expects what the module is told before and with the list known at the start. */
    void start(String... before) throws Exception {
        Script script = new Script();
        GatewayConfig config = GatewayConfig.of(Json.read(config()), Map.of("TMPDIR", state.toString()));
        node = new GatewayNode(config, (settings, seed, now, actions) -> {
            script.act = actions;
            assertEquals(4, settings.nodeCount());
            assertEquals(List.of("utilization", "outstanding"), settings.loadFields());
            return script;
        });
        Thread watching = new Thread(() -> {
            try {
                answerWatch();
            } catch (Exception e) {
                told.add("watch: " + e);
            }
        });
        watching.start();
        node.start();
        watching.join();
        server = app.accept(); // the connection made ahead
        for (String each : before) {
            expect(each);
        }
        expect("whole s0 UP");
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        if (node != null && !drained) {
            node.drain();
        }
    }

    Peer.Line client() throws IOException {
        Peer.Line line = Peer.Line.to(((InetSocketAddress) node.listenAddress()).getPort());
        open.add(line);
        return line;
    }

    /** A call at the operators' door of this node; its status, and what came with it. */
    static List<String> admin(GatewayNode at, String method, String path) throws IOException {
        try (Peer.Line line = Peer.Line.to(((InetSocketAddress) at.adminAddress()).getPort())) {
            line.write(method + " " + path + " HTTP/1.1\r\nHost: edge\r\n\r\n");
            return answer(line);
        }
    }

    static List<String> answer(Peer.Line line) throws IOException {
        String status = line.line();
        String head = line.line();
        while (!head.isEmpty()) {
            head = line.line();
        }
        return List.of(
                status.split(" ", 0)[1], new String(line.in.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8));
    }

    static void get(Peer.Line client, String id, String type, int wait) throws IOException {
        client.command("CALL.GET", CUSTOMER, id, "c=" + type + ",t=p,d=" + wait + ",units=2,spread=3,first=1");
    }

    /** The next thing told to the module. */
    void expect(String text) throws InterruptedException {
        assertEquals(text, told.poll(10, TimeUnit.SECONDS));
    }

    void arrived(int id, String type) throws InterruptedException {
        expect("arrived " + id + " " + type + " p " + CUSTOMER + " 2 3 1 false");
    }
}
