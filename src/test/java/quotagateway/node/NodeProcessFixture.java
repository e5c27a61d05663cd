package quotagateway.node;

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
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A node in a separate process, under limits of the operating system or of its JVM, with peers of the test. */
@Timeout(60)
abstract class NodeProcessFixture {
    static final String COMMAND_LIST = "c=read,t=p,d=2000,units=1,spread=1,first=0";

    @TempDir
    Path folder;

    final Peer discovery;
    final Peer counter;
    final Peer endpoint;
    Path log;
    final List<AutoCloseable> closeables = new ArrayList<>();
    /** Where the node's admin endpoint listens; empty for none. */
    String controlAddress = "";

    private int port;

    NodeProcessFixture() throws IOException {
        discovery = new Peer();
        counter = new Peer();
        endpoint = new Peer();
        closeables.addAll(List.of(discovery, counter, endpoint));
    }

    private String configJson(int configuredSockets) {
        return """
            {"name":"n0","listen":"127.0.0.1:%d","control":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
             "limits":{"sockets":%d},"counter":"%s","known":%s,
             "settings":{"rank":0,"group_size":1,"tick":1,"feedback":{"fields":["utilization","outstanding"]},
              "family_info":{"shared_counter":false,"count_limit":80,"most_units":2},
              "limits":{"send_cap":2,"keepalive":15000,"connect_timeout":250},
              "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000},
                {"name":"write","effect":"idempotency_key","aim":600,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":80,"depth":80}]}}""".formatted(
                        port,
                        controlAddress,
                        discovery.address(),
                        configuredSockets,
                        counter.address(),
                        NodeFixture.list(41, true, NodeFixture.entry("s0", endpoint.address(), "active")));
    }

    static void answerWatch(Peer.Connection connection, String list) throws Exception {
        while (!connection.readLine().isEmpty()) {
            assertTrue(connection.socket.isConnected());
        }
        connection.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                + Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n");
    }

    private static void runInBackground(Callable<?> task) {
        Thread thread = new Thread(() -> {
            try {
                task.call();
            } catch (Exception | AssertionError closed) {
                // the test has ended, or the node has closed the connection
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers each request on every accepted connection. */
    static void respondOnAll(Peer endpoint, CountDownLatch connected) {
        runInBackground(() -> {
            while (true) {
                Peer.Connection connection = endpoint.awaitConnection();
                connected.countDown();
                runInBackground(() -> {
                    while (connection.readMessage() != null) {
                        connection.sendValue("served");
                    }
                    return null;
                });
            }
        });
    }

    Peer.Connection connectClient() throws Exception {
        Peer.Connection connection = Peer.Connection.connect(port);
        closeables.add(connection);
        return connection;
    }

    /**
     * Starts a node.
     *
     * @param descriptorLimit the operating system's limit
     * @param configuredSockets the limit that the configuration names
     * @param jvmOptions options of the node's JVM
     */
    Process startNode(int descriptorLimit, int configuredSockets, String... jvmOptions) throws Exception {
        try (ServerSocket freePortSocket = new ServerSocket(0)) {
            port = freePortSocket.getLocalPort();
        }
        log = folder.resolve("log");
        Path file = Files.writeString(folder.resolve("config"), configJson(configuredSockets));
        String path = Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(p -> !p.matches(".*(junit|opentest4j|apiguardian|test-classes).*"))
                .collect(Collectors.joining(File.pathSeparator)); // each class path entry uses a descriptor
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                "ulimit -n " + descriptorLimit + " && exec '"
                        + ProcessHandle.current().info().command().orElseThrow() + "' "
                        + String.join(" ", jvmOptions) + " -cp '" + path
                        + "' quotagateway.Main serve");
        builder.environment().put("EDGE_CONFIG", file.toString());
        builder.environment()
                .put("TMPDIR", Files.createDirectory(folder.resolve("tmp")).toString());
        Process node =
                builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        closeables.add(node::destroyForcibly);
        return node;
    }

    void awaitBind() throws Exception {
        while (!Files.readString(log).contains("bind")) {
            Thread.sleep(20);
        }
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : closeables) {
            resource.close();
        }
    }
}
