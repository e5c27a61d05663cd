package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A whole edge node, in a process that the system holds to the descriptors it was told. */
@Timeout(60)
class DescriptorLimitTest {
    private static final int SOCKETS = 128;
    /** To the counter. */
    private static final int LINES = 4;

    private static final String CALL = "c=read,t=p,d=2000,units=1,spread=1,first=0";

    @TempDir
    Path folder;

    private final Peer discovery;
    private final Peer counter;
    private final Peer app;
    private final Peer other;
    private int port;
    private Path log;
    private final List<AutoCloseable> open = new ArrayList<>();

    DescriptorLimitTest() throws IOException {
        discovery = new Peer();
        counter = new Peer();
        app = new Peer();
        other = new Peer();
    }

    private String config(int told) {
        return """
            {"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be964",
             "limits":{"sockets":%d},"counter":"%s","known":%s,
             "settings":{"rank":0,"group_size":1,"tick":1,"feedback":{"fields":["utilization","outstanding"]},
              "family_info":{"shared_counter":false,"count_limit":80,"most_units":2},
              "limits":{"send_cap":2,"keepalive":15000,"connect_timeout":250},
              "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":80,"depth":80}]}}""".formatted(
                        port,
                        discovery.address(),
                        told,
                        counter.address(),
                        NodeFixture.list(41, true, NodeFixture.entry("s0", app.address(), "active")));
    }

    private static void watch(Peer.Connection line, String list) throws Exception {
        while (!line.readLine().isEmpty()) {
            assertTrue(line.socket.isConnected());
        }
        line.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + Integer.toHexString(list.length() + 1)
                + "\r\n" + list + "\n\r\n");
    }

    private static void daemon(Callable<?> what) {
        Thread thread = new Thread(() -> {
            try {
                what.call();
            } catch (Exception | AssertionError closed) {
                // the test is over, or the node closed this one
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers each request, on all connections that come. */
    private static void serve(Peer app, CountDownLatch first) {
        daemon(() -> {
            while (true) {
                Peer.Connection line = app.awaitConnection();
                first.countDown();
                daemon(() -> {
                    while (line.readMessage() != null) {
                        line.sendValue("served");
                    }
                    return null;
                });
            }
        });
    }

    private Peer.Connection client() throws Exception {
        Peer.Connection line = Peer.Connection.connect(port);
        open.add(line);
        return line;
    }

    private Process node(int told) throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        log = folder.resolve("log");
        open.addAll(List.of(discovery, counter, app, other));
        Path file = Files.writeString(folder.resolve("config"), config(told));
        String path = Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(p -> !p.matches(".*(junit|opentest4j|apiguardian|test-classes).*"))
                .collect(Collectors.joining(File.pathSeparator)); // each is a descriptor
        ProcessBuilder run = new ProcessBuilder(
                "/bin/sh",
                "-c",
                "ulimit -n " + SOCKETS + " && exec '"
                        + ProcessHandle.current().info().command().orElseThrow() + "' -cp '" + path
                        + "' quotagateway.Main serve");
        run.environment().put("EDGE_CONFIG", file.toString());
        run.environment()
                .put("TMPDIR", Files.createDirectory(folder.resolve("tmp")).toString());
        Process node =
                run.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        open.add(node::destroyForcibly);
        return node;
    }

    /** All that clients may fill is filled while discovery is away and the counter breaks off. */
    @Test
    void idleClientsLeaveDescriptorsForTheNodeItself() throws Exception {
        Process node = node(SOCKETS);
        try {
            Peer.Connection watch = discovery.awaitConnection();
            watch(watch, "");
            app.awaitConnection();
            Peer.Connection[] lines = new Peer.Connection[LINES];
            for (int i = 0; i < LINES; i++) {
                lines[i] = counter.awaitConnection();
            }
            bound();
            discovery.close();
            watch.close();
            int down = discovery.port();
            for (int i = 0; i < SOCKETS; i++) { // each asks once, and then holds its place
                Peer.Connection idle = client();
                idle.sendCommand("PING");
                assertEquals(List.of("+PONG"), idle.readMessage());
            }
            for (int i = 0; i < SOCKETS; i++) {
                client(); // says nothing at all
            }
            for (int i = 0; i < LINES; i++) {
                lines[i].close();
            }
            for (int i = 0; i < LINES; i++) {
                counter.awaitConnection(); // the counter is reached again
            }
            Peer back = new Peer(down);
            open.add(back);
            List<String> hosts = new ArrayList<>();
            for (int i = 1; i <= SOCKETS; i++) { // more servers than their part holds
                hosts.add(NodeFixture.entry("s" + i, other.address(), "active"));
            }
            watch(back.awaitConnection(), NodeFixture.list(42, true, hosts.toArray(new String[0])));
            CountDownLatch reached = new CountDownLatch(1);
            serve(other, reached);
            assertTrue(reached.await(10, TimeUnit.SECONDS)); // so the list is taken
            Peer.Connection client = client();
            client.sendCommand("CALL.GET", NodeFixture.CUSTOMER, "01", CALL);
            assertEquals(List.of("served"), client.readMessage());
            assertFalse(Files.readString(log).contains("Too many open files"), Files.readString(log));
            assertTrue(node.isAlive());
        } catch (IOException | AssertionError e) {
            throw new AssertionError(Files.readString(log), e);
        }
    }

    /** Told of more than the system gives: the first that found none left ended the loop, and so the node. */
    @Test
    void nodeRecoversOnceDescriptorsAreFreeAgain() throws Exception {
        Process node = node(1024);
        try {
            serve(app, new CountDownLatch(1));
            watch(discovery.awaitConnection(), "");
            bound();
            List<Peer.Connection> crowd = new ArrayList<>();
            for (int i = 0; i < SOCKETS; i++) {
                crowd.add(client());
            }
            while (!Files.readString(log).contains("Too many open files")) {
                Thread.sleep(20);
            }
            for (Peer.Connection line : crowd) {
                line.close();
            }
            Peer.Connection client = client();
            client.sendCommand("CALL.GET", NodeFixture.CUSTOMER, "01", CALL);
            assertEquals(List.of("served"), client.readMessage());
            assertTrue(node.isAlive());
        } catch (IOException | AssertionError e) {
            throw new AssertionError(Files.readString(log), e);
        }
    }

    private void bound() throws Exception {
        while (!Files.readString(log).contains("bind")) {
            Thread.sleep(20);
        }
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }
}
