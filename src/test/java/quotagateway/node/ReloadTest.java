package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.config.GatewayConfig;
import quotagateway.config.Json;

/** SIGHUP and new configurations while a node runs. */
class ReloadTest extends NodeFixture {
    /** More than are handed over as one: the first part comes before the list has ended. */
    private static final int ENTRIES_OF_A_LIST_IN_PARTS = 1100;

    @TempDir
    Path folder;

    private GatewayConfig configWith(Peer toDiscovery, Peer toCounter) throws IOException {
        return GatewayConfig.of(
                Json.read(configJson()
                        .replace(discoveryPeer.address(), toDiscovery.address())
                        .replace(counterPeer.address(), toCounter.address())),
                Map.of());
    }

    private static void answerListCall(Peer.Connection connection, String list) throws IOException {
        // another discovery has versions of its own: the complete list is asked for
        readRequestHead(connection, "GET /catalog/members HTTP/1.1");
        respond(connection, list);
    }

    private static void readRequestHead(Peer.Connection connection, String requestLine) throws IOException {
        assertEquals(requestLine, connection.readLine());
        while (!connection.readLine().isEmpty()) {
            assertTrue(connection.socket.isConnected());
        }
    }

    private static void respond(Peer.Connection connection, String list) throws IOException {
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: " + list.length() + "\r\n\r\n" + list);
    }

    /** The old watch is in force until the new address has sent its list, and is closed then. */
    @Test
    void reloadMovesTheWatchOnceTheNewAddressHasItsList() throws Exception {
        start();
        try (Peer newPeer = new Peer()) {
            node.reload(() -> configWith(newPeer, counterPeer));
            Peer.Connection connection = newPeer.awaitConnection();
            pushToWatch(list(42, false, entry("s0", endpointPeer.address(), "leaving")));
            expectEvent("changes s0 DRAINING");
            answerListCall(connection, list(7, true, entry("s9", endpointPeer.address(), "active")));
            expectEvent("whole s9 UP");
            assertTrue(watchConnection.awaitEnd());
            assertEquals("GET /catalog/members?follow=1&since=7 HTTP/1.1", connection.readLine());
        }
    }

    /**
     * A configuration moves discovery, and the new agent's list is so long that it comes in parts. Its first part says
     * that s0 drains. Then the former agent, which lags behind, sends a change that still has s0 as active. The node
     * took that as the newest, and sent requests to an endpoint that it had been told to leave. What the former agent
     * says of endpoints that leave is still heard.
     */
    @Test
    void formerAgentDoesNotSetAnEndpointUpThatTheNewOneNamedAsDraining() throws Exception {
        start();
        try (Peer newPeer = new Peer()) {
            node.reload(() -> configWith(newPeer, counterPeer));
            Peer.Connection connection = newPeer.awaitConnection();
            readRequestHead(connection, "GET /catalog/members HTTP/1.1");
            StringBuilder entries = new StringBuilder(entry("s0", endpointPeer.address(), "leaving"));
            for (int i = 0; i < ENTRIES_OF_A_LIST_IN_PARTS; i++) {
                entries.append(',').append(entry("h" + i, endpointPeer.address(), "leaving"));
            }
            String longList = list(7, true, entries.toString());
            String begun = longList.substring(0, longList.length() - 2);
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: " + longList.length() + "\r\n\r\n" + begun);
            String firstPart = policyEvents.poll(10, TimeUnit.SECONDS);
            assertTrue(firstPart.startsWith("changes s0 DRAINING h0 DRAINING"), firstPart);
            pushToWatch(list(
                    42,
                    false,
                    entry("s0", endpointPeer.address(), "active"),
                    entry("s1", endpointPeer.address(), "leaving")));
            expectEvent("changes s1 DRAINING");
        }
    }

    /**
     * The former agent is asked for its whole list as the configuration moves discovery, and the new agent's first
     * answer is a change, so that both stay connected. The former agent's list then ends, and the watch that follows
     * there named the new agent's version, which means nothing to the former one: it would leave out what has changed.
     */
    @Test
    void watchOfTheFormerAgentGoesOnFromItsOwnVersion() throws Exception {
        start();
        discardWatch();
        Peer.Connection former = discoveryPeer.awaitConnection();
        readRequestHead(former, "GET /catalog/members HTTP/1.1");
        try (Peer newPeer = new Peer()) {
            node.reload(() -> configWith(newPeer, counterPeer));
            answerListCall(newPeer.awaitConnection(), list(7, false, entry("s1", endpointPeer.address(), "leaving")));
            expectEvent("discovery failed");
            expectEvent("changes s1 DRAINING");
            respond(former, list(50, true, entry("s0", endpointPeer.address(), "active")));
            readRequestHead(former, "GET /catalog/members?follow=1&since=50 HTTP/1.1");
        }
    }

    /** The agent does not know the version any more, so that the node asks it for its whole list. */
    private void discardWatch() throws Exception {
        watchConnection.close();
        Peer.Connection next = discoveryPeer.awaitConnection();
        readRequestHead(next, "GET /catalog/members?follow=1&since=41 HTTP/1.1");
        next.write("HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n");
        expectEvent("discovery failed");
    }

    /** The signal may come while the node comes up, when the old file has been read already. */
    @Test
    void reloadDuringTheStartMovesTheWatch() throws Exception {
        node = newNode(configJson());
        try (Peer newPeer = new Peer()) {
            node.reload(() -> configWith(newPeer, counterPeer));
            Thread answering = new Thread(() -> {
                try {
                    watchConnection = newPeer.awaitConnection();
                    watchConnection.readLine();
                    watchConnection.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
                    pushToWatch(list(42, false, entry("s0", endpointPeer.address(), "leaving")));
                } catch (Exception e) {
                    policyEvents.add("watch: " + e);
                }
            });
            answering.start();
            node.start();
            answering.join();
            expectEvent("whole s0 UP");
            expectEvent("changes s0 DRAINING");
            assertEquals(null, discoveryPeer.pollConnection(0), "the old place is not asked");
        }
    }

    /** Calls go to the new address once it is reached; old connections are closed once no reply is due on them. */
    @Test
    void reloadMovesTheCounterConnections() throws Exception {
        start();
        Peer.Connection[] oldConnections = new Peer.Connection[4];
        for (int i = 0; i < 4; i++) {
            oldConnections[i] = counterPeer.awaitConnection();
        }
        try (Peer newPeer = new Peer()) {
            node.reload(() -> configWith(discoveryPeer, newPeer));
            Peer.Connection[] connections = new Peer.Connection[4];
            for (int i = 0; i < 4; i++) {
                connections[i] = newPeer.awaitConnection();
            }
            for (Peer.Connection connection : oldConnections) {
                assertTrue(connection.awaitEnd()); // no reply is due on it
            }
            Peer.Connection client = connectClient();
            sendGet(client, "01", "count", 900);
            expectRequest(1, "count");
            expectEvent("counted 77 TIMEOUT 0.0");
            expectEvent("counted 77 TIMEOUT 0.0");
            int called = 0;
            for (Peer.Connection connection : connections) {
                List<String> words = connection.readMessage();
                called += words.get(0).equals("CNT.ADD") ? 1 : 0;
            }
            assertEquals(1, called);
        }
    }

    @Test
    void reloadOfAnUnreadableFileChangesNothing() throws Exception {
        start();
        Path file = Files.writeString(folder.resolve("config.json"), "{\"name\":");
        node.reload(() -> GatewayConfig.reload(Map.of("EDGE_CONFIG", file.toString())));
        node.reload(() -> GatewayConfig.reload(
                Map.of("EDGE_CONFIG", folder.resolve("none").toString())));
        pushToWatch(list(42, false, entry("s0", endpointPeer.address(), "leaving")));
        expectEvent("changes s0 DRAINING");
    }

    /** Environment variables are those of the start; what is new stands in the file. */
    @Test
    void reloadedFileWinsOverTheVariableOfTheStart() throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), configJson());
        Map<String, String> env = Map.of("EDGE_CONFIG", file.toString(), "EDGE_DISCOVERY", "127.0.0.9:1");
        assertEquals(
                "127.0.0.9:1",
                GatewayConfig.fromEnvironment(env).discoveryAddress().toString().substring(1));
        assertEquals(
                discoveryPeer.port(),
                GatewayConfig.reload(env).discoveryAddress().getPort());
    }

    /**
     * A JVM without a handler ends with 129 at SIGHUP; here a child process has one. The steps wait for each other, and
     * for as long as the child lives: how long its JVM takes to come up depends on the load of the machine.
     */
    @Test
    @Timeout(120)
    void hangupReloadsAProcessAndDoesNotEndIt() throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            listenPort = free.getLocalPort();
        }
        Path file = Files.writeString(folder.resolve("config.json"), configJson());
        Process process = startProcess(file);
        try (Peer newPeer = new Peer()) {
            answerWatch(connectionFrom(process, discoveryPeer));
            connectionFrom(process, counterPeer);
            connectionFrom(process, endpointPeer);
            awaitListening(process);
            Files.writeString(file, configJson().replace(discoveryPeer.address(), newPeer.address()));
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                            .start()
                            .waitFor());
            Peer.Connection connection = connectionFrom(process, newPeer);
            answerListCall(connection, list(7, true, entry("s9", endpointPeer.address(), "active")));
            assertEquals("GET /catalog/members?follow=1&since=7 HTTP/1.1", connection.readLine());
            assertTrue(process.isAlive(), () -> "ended with " + process.exitValue());
        } finally {
            process.destroy();
            assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        }
    }

    private Process startProcess(Path config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "quotagateway.Main",
                "serve");
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", stateFolder.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        return builder.start();
    }

    /** The next connection to a peer, which the process makes as long as it lives. */
    private static Peer.Connection connectionFrom(Process process, Peer peer) throws InterruptedException {
        Peer.Connection connection = peer.pollConnection(100);
        while (connection == null) {
            assertTrue(process.isAlive(), () -> "ended with " + process.exitValue());
            connection = peer.pollConnection(100);
        }
        return connection;
    }

    /** It listens once its start is over. */
    private void awaitListening(Process process) throws Exception {
        while (true) {
            assertTrue(process.isAlive(), () -> "ended with " + process.exitValue());
            try (Peer.Connection connection = Peer.Connection.connect(listenPort)) {
                connection.sendCommand("PING");
                assertEquals(List.of("+PONG"), connection.readMessage());
                return;
            } catch (ConnectException notYet) {
                Thread.sleep(50);
            }
        }
    }
}
