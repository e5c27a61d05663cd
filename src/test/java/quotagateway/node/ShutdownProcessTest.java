package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.scale.soak.FaultProxy;
import quotagateway.scale.soak.NodeProcess;

/**
 * A planned restart of a real process with real signals: SIGTERM, and SIGKILL at the earliest time that the protocol
 * allows. The endpoint accepts requests and never responds; a proxy in front of it holds back responses.
 */
@Timeout(60)
class ShutdownProcessTest {
    /** Minimum time (ms) from the longest deadline, capped at 3 s, to SIGKILL. */
    private static final int KILL_AFTER_DEADLINE_MS = 750;

    private static final int MAX_COUNTED_DEADLINE_MS = 3000;
    private static final int READY_WITHIN_MS = 30_000;
    private static final String UNANSWERED = "connection ended without a complete response";

    @TempDir
    Path folder;

    private final List<AutoCloseable> closeables = new ArrayList<>();
    private NodeProcess node;

    private Peer endpoint;
    private Peer discovery;
    private FaultProxy proxy;

    @BeforeEach
    void openPeers() throws IOException {
        endpoint = new Peer();
        discovery = new Peer(); // accepts connections and sends nothing: the node uses the cached list
        proxy = new FaultProxy(new InetSocketAddress(InetAddress.getLoopbackAddress(), endpoint.port()));
        closeables.addAll(List.of(endpoint, discovery, proxy));
    }

    @AfterEach
    void closeAll() throws Exception {
        if (node != null) {
            node.close();
        }
        for (AutoCloseable each : closeables) {
            each.close();
        }
    }

    /** Starts a node whose request classes have this deadline (ms), and holds back its endpoint's responses. */
    private void start(int deadlineMs) throws Exception {
        int port = NodeProcess.freePort();
        Path config = folder.resolve("config.json");
        Files.writeString(config, """
            {"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be964",
             "limits":{"sockets":256},"known":%s,
             "settings":{"rank":0,"group_size":1,"tick":4,"family_info":{"most_units":1},
              "limits":{"send_cap":2,"keepalive":15000,"connect_timeout":250,"cancelling":true},
              "request_classes":[{"name":"order","effect":"non_idempotent","aim":%d,"hard_limit":%d},
                {"name":"read","effect":"read_like","aim":%d,"hard_limit":%d}],
              "tariffs":[{"name":"p","per_second":800,"depth":800}]}}""".formatted(
                        port,
                        discovery.address(),
                        NodeFixture.list(41, true, NodeFixture.entry("s0", proxy.dial(), "active")),
                        deadlineMs / 2,
                        deadlineMs,
                        deadlineMs / 2,
                        deadlineMs));
        List<String> command = List.of(
                System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "quotagateway.Main",
                "serve");
        node = NodeProcess.start(
                command,
                Path.of("."),
                Map.of("EDGE_CONFIG", config.toString(), "TMPDIR", folder.toString()),
                folder.resolve("log"),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        assertTrue(node.awaitReady(READY_WITHIN_MS), () -> "not ready: " + log());
        proxy.mode(FaultProxy.Mode.HOLD_ANSWERS);
    }

    private String log() {
        try {
            return node.log();
        } catch (IOException e) {
            return e.toString();
        }
    }

    private Peer.Connection connectClient() throws IOException {
        Peer.Connection connection = Peer.Connection.connect(node.address().getPort());
        closeables.add(connection);
        return connection;
    }

    private static void sendPost(Peer.Connection client, String id, int timeoutMs) throws IOException {
        client.sendCommand(
                "CALL.POST",
                NodeFixture.CUSTOMER,
                id,
                "c=order,t=p,d=" + timeoutMs + ",units=1,spread=1,first=0",
                "body");
    }

    /** Returns the response that the client receives, or {@link #UNANSWERED} at the end of its connection. */
    private static String outcome(Peer.Connection client) throws IOException {
        try {
            return client.readMessage().toString();
        } catch (EOFException | java.net.SocketException e) {
            return UNANSWERED;
        }
    }

    private static void sleepUntil(long startNanos, long milliseconds) throws InterruptedException {
        long leftNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(milliseconds) - System.nanoTime();
        if (leftNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(leftNanos);
        }
    }

    /** Sends SIGTERM, and SIGKILL at its earliest time; returns the time of SIGTERM in nanoseconds. */
    private long terminate(int deadlineMs) {
        long startNanos = System.nanoTime();
        node.signal(NodeProcess.Signal.TERM);
        Thread killer = new Thread(() -> {
            try {
                sleepUntil(startNanos, Math.min(deadlineMs, MAX_COUNTED_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS);
                node.signal(NodeProcess.Signal.KILL);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        killer.setDaemon(true);
        killer.start();
        return startNanos;
    }

    /** Connects a client during the shutdown, which sends its request late and must get a response. */
    private void assertLateRequestIsAnswered(int deadlineMs) throws Exception {
        start(deadlineMs);
        long startNanos = terminate(deadlineMs);
        sleepUntil(startNanos, 200);
        Peer.Connection lateClient = connectClient();
        sleepUntil(startNanos, 950);
        sendPost(lateClient, "01", deadlineMs);
        Peer.Connection forwarded = endpoint.awaitConnection();
        assertEquals("01", forwarded.readMessage().get(2), "the request is not forwarded");
        assertEquals("[-ERR failed]", outcome(lateClient), this::log);
    }

    @Test
    void requestLateInAShutdownIsAnsweredBeforeTheKillWithShortDeadlines() throws Exception {
        assertLateRequestIsAnswered(1000);
    }

    @Test
    void requestLateInAShutdownIsAnsweredBeforeTheKillWithLongDeadlines() throws Exception {
        assertLateRequestIsAnswered(4000);
    }

    /** A request that was accepted before the signal has its deadline brought forward before SIGKILL. */
    @Test
    void requestAcceptedBeforeAShutdownIsAnsweredBeforeTheKill() throws Exception {
        int deadlineMs = 4000;
        start(deadlineMs);
        Peer.Connection earlierClient = connectClient();
        sendPost(earlierClient, "01", deadlineMs);
        Peer.Connection forwarded = endpoint.awaitConnection();
        assertEquals("01", forwarded.readMessage().get(2), "the request is not forwarded");
        terminate(deadlineMs);
        assertEquals("[-ERR failed]", outcome(earlierClient), this::log);
    }
}
