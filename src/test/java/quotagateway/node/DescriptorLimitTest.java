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

/** A node in a separate process whose file descriptors the operating system limits. */
@Timeout(60)
class DescriptorLimitTest {
    private static final int DESCRIPTOR_LIMIT = 128;
    /** Number of connections to the counter. */
    private static final int COUNTER_CONNECTIONS = 4;

    private static final String COMMAND_LIST = "c=read,t=p,d=2000,units=1,spread=1,first=0";

    @TempDir
    Path folder;

    private final Peer discovery;
    private final Peer counter;
    private final Peer endpoint;
    private final Peer otherEndpoint;
    private int port;
    private Path log;
    private final List<AutoCloseable> closeables = new ArrayList<>();

    DescriptorLimitTest() throws IOException {
        discovery = new Peer();
        counter = new Peer();
        endpoint = new Peer();
        otherEndpoint = new Peer();
    }

    private String configJson(int configuredSockets) {
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
                        configuredSockets,
                        counter.address(),
                        NodeFixture.list(41, true, NodeFixture.entry("s0", endpoint.address(), "active")));
    }

    private static void answerWatch(Peer.Connection connection, String list) throws Exception {
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
    private static void respondOnAll(Peer endpoint, CountDownLatch connected) {
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

    private Peer.Connection connectClient() throws Exception {
        Peer.Connection connection = Peer.Connection.connect(port);
        closeables.add(connection);
        return connection;
    }

    private Process startNode(int configuredSockets) throws Exception {
        try (ServerSocket freePortSocket = new ServerSocket(0)) {
            port = freePortSocket.getLocalPort();
        }
        log = folder.resolve("log");
        closeables.addAll(List.of(discovery, counter, endpoint, otherEndpoint));
        Path file = Files.writeString(folder.resolve("config"), configJson(configuredSockets));
        String path = Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(p -> !p.matches(".*(junit|opentest4j|apiguardian|test-classes).*"))
                .collect(Collectors.joining(File.pathSeparator)); // each class path entry uses a descriptor
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                "ulimit -n " + DESCRIPTOR_LIMIT + " && exec '"
                        + ProcessHandle.current().info().command().orElseThrow() + "' -cp '" + path
                        + "' quotagateway.Main serve");
        builder.environment().put("EDGE_CONFIG", file.toString());
        builder.environment()
                .put("TMPDIR", Files.createDirectory(folder.resolve("tmp")).toString());
        Process node =
                builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        closeables.add(node::destroyForcibly);
        return node;
    }

    private void connectIdleClients() throws Exception {
        for (int i = 0; i < DESCRIPTOR_LIMIT; i++) { // each client sends one request and then stays idle
            Peer.Connection idle = connectClient();
            idle.sendCommand("PING");
            assertEquals(List.of("+PONG"), idle.readMessage());
        }
        for (int i = 0; i < DESCRIPTOR_LIMIT; i++) {
            connectClient(); // sends nothing
        }
    }

    private String listOfMoreEndpointsThanConnections() {
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= DESCRIPTOR_LIMIT; i++) {
            entries.add(NodeFixture.entry("s" + i, otherEndpoint.address(), "active"));
        }
        return NodeFixture.list(42, true, entries.toArray(new String[0]));
    }

    /** Clients use up their descriptors while discovery and the counter are down: the node must reconnect to both. */
    @Test
    void idleClientsLeaveDescriptorsForTheNodeItself() throws Exception {
        Process node = startNode(DESCRIPTOR_LIMIT);
        try {
            Peer.Connection watch = discovery.awaitConnection();
            answerWatch(watch, "");
            endpoint.awaitConnection();
            Peer.Connection[] connections = new Peer.Connection[COUNTER_CONNECTIONS];
            for (int i = 0; i < COUNTER_CONNECTIONS; i++) {
                connections[i] = counter.awaitConnection();
            }
            awaitBind();
            discovery.close();
            watch.close();
            int freedPort = discovery.port();
            connectIdleClients();
            for (int i = 0; i < COUNTER_CONNECTIONS; i++) {
                connections[i].close();
            }
            for (int i = 0; i < COUNTER_CONNECTIONS; i++) {
                counter.awaitConnection(); // the node reconnects to the counter
            }
            Peer newDiscovery = new Peer(freedPort);
            closeables.add(newDiscovery);
            answerWatch(newDiscovery.awaitConnection(), listOfMoreEndpointsThanConnections());
            CountDownLatch endpointReached = new CountDownLatch(1);
            respondOnAll(otherEndpoint, endpointReached);
            assertTrue(endpointReached.await(10, TimeUnit.SECONDS)); // so the node has read the list
            Peer.Connection client = connectClient();
            client.sendCommand("CALL.GET", NodeFixture.CUSTOMER, "01", COMMAND_LIST);
            assertEquals(List.of("served"), client.readMessage());
            assertFalse(Files.readString(log).contains("Too many open files"), Files.readString(log));
            assertTrue(node.isAlive());
        } catch (IOException | AssertionError e) {
            throw new AssertionError(Files.readString(log), e);
        }
    }

    /** The configuration allows more descriptors than the system: exhaustion must not terminate the event loop. */
    @Test
    void nodeRecoversOnceDescriptorsAreFreeAgain() throws Exception {
        Process node = startNode(1024);
        try {
            respondOnAll(endpoint, new CountDownLatch(1));
            answerWatch(discovery.awaitConnection(), "");
            awaitBind();
            List<Peer.Connection> idleClients = new ArrayList<>();
            for (int i = 0; i < DESCRIPTOR_LIMIT; i++) {
                idleClients.add(connectClient());
            }
            while (!Files.readString(log).contains("Too many open files")) {
                Thread.sleep(20);
            }
            for (Peer.Connection connection : idleClients) {
                connection.close();
            }
            Peer.Connection client = connectClient();
            client.sendCommand("CALL.GET", NodeFixture.CUSTOMER, "01", COMMAND_LIST);
            assertEquals(List.of("served"), client.readMessage());
            assertTrue(node.isAlive());
        } catch (IOException | AssertionError e) {
            throw new AssertionError(Files.readString(log), e);
        }
    }

    private void awaitBind() throws Exception {
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
