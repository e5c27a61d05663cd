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
    /** More entries than a single part of a list holds: the first part is delivered before the list has ended. */
    private static final int MULTI_PART_LIST_ENTRIES = 1100;

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
        // another discovery has its own versions: the node requests the complete list
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

    /** The old watch stays open until the new address has sent its list, and is then closed. */
    @Test
    void reloadMovesTheWatchOnceTheNewAddressHasSentItsList() throws Exception {
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
     * After a reload moves discovery, the new agent's long list arrives in parts, and the first part reports s0 as
     * draining. Then the former agent, which lags, sends a change with s0 still active. The node used to accept this
     * change as the newest and sent requests to a draining endpoint. Endpoints that the former agent reports as
     * leaving are still accepted.
     */
    @Test
    void formerAgentDoesNotReactivateAnEndpointThatDrainsAtTheNewAgent() throws Exception {
        start();
        try (Peer newPeer = new Peer()) {
            node.reload(() -> configWith(newPeer, counterPeer));
            Peer.Connection connection = newPeer.awaitConnection();
            readRequestHead(connection, "GET /catalog/members HTTP/1.1");
            StringBuilder entries = new StringBuilder(entry("s0", endpointPeer.address(), "leaving"));
            for (int i = 0; i < MULTI_PART_LIST_ENTRIES; i++) {
                entries.append(',').append(entry("h" + i, endpointPeer.address(), "leaving"));
            }
            String longList = list(7, true, entries.toString());
            String unfinishedList = longList.substring(0, longList.length() - 2);
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: " + longList.length() + "\r\n\r\n" + unfinishedList);
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
     * A reload moves discovery while a call for the complete list is open at the former agent. The new agent's first
     * answer is a change, so both stay connected. After the former agent's list, the next watch there used to state
     * the new agent's version, which is invalid at the former agent, so that changes would be omitted.
     */
    @Test
    void watchOfTheFormerAgentContinuesFromItsOwnVersion() throws Exception {
        start();
        refuseWatchVersion();
        Peer.Connection formerConnection = discoveryPeer.awaitConnection();
        readRequestHead(formerConnection, "GET /catalog/members HTTP/1.1");
        try (Peer newPeer = new Peer()) {
            node.reload(() -> configWith(newPeer, counterPeer));
            answerListCall(newPeer.awaitConnection(), list(7, false, entry("s1", endpointPeer.address(), "leaving")));
            expectEvent("discovery failed");
            expectEvent("changes s1 DRAINING");
            respond(formerConnection, list(50, true, entry("s0", endpointPeer.address(), "active")));
            readRequestHead(formerConnection, "GET /catalog/members?follow=1&since=50 HTTP/1.1");
        }
    }

    /** Refuses the version as no longer known, so that the node requests the complete list. */
    private void refuseWatchVersion() throws Exception {
        watchConnection.close();
        Peer.Connection next = discoveryPeer.awaitConnection();
        readRequestHead(next, "GET /catalog/members?follow=1&since=41 HTTP/1.1");
        next.write("HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n");
        expectEvent("discovery failed");
    }

    /** The signal may arrive during the start, when the old file has already been read. */
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
            assertEquals(null, discoveryPeer.pollConnection(0), "the node calls the old discovery address");
        }
    }

    /** Calls go to the new address once it is connected; old connections are closed once no reply is due on them. */
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
            int calledConnections = 0;
            for (Peer.Connection connection : connections) {
                List<String> words = connection.readMessage();
                calledConnections += words.get(0).equals("CNT.ADD") ? 1 : 0;
            }
            assertEquals(1, calledConnections);
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

    /** The environment variables date from the start; new settings are in the file. */
    @Test
    void reloadedFileOverridesTheEnvironmentOfTheStart() throws Exception {
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
     * A JVM without a handler exits with 129 at SIGHUP; the child process of this test has a handler. Each step waits
     * as long as the child is alive, because the start time of its JVM depends on the load of the machine.
     */
    @Test
    @Timeout(120)
    void hangupReloadsAProcessAndDoesNotTerminateIt() throws Exception {
        try (ServerSocket freePortSocket = new ServerSocket(0)) {
            listenPort = freePortSocket.getLocalPort();
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

    /** Returns the next connection to a peer; waits as long as the process is alive. */
    private static Peer.Connection connectionFrom(Process process, Peer peer) throws InterruptedException {
        Peer.Connection connection = peer.pollConnection(100);
        while (connection == null) {
            assertTrue(process.isAlive(), () -> "ended with " + process.exitValue());
            connection = peer.pollConnection(100);
        }
        return connection;
    }

    /** Waits until the process listens, which it does once its start is complete. */
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
