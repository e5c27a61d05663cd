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

/** SIGHUP and new configurations while the edge node runs. */
class ReloadTest extends NodeFixture {
    @TempDir
    Path folder;

    private GatewayConfig moved(Peer toDiscovery, Peer toCounter) throws IOException {
        return GatewayConfig.of(
                Json.read(configJson()
                        .replace(discoveryPeer.address(), toDiscovery.address())
                        .replace(counterPeer.address(), toCounter.address())),
                Map.of());
    }

    private static void answerLists(Peer.Connection line, String list) throws IOException {
        assertEquals("GET /catalog/members HTTP/1.1", line.readLine()); // versions are of one place: all of it
        while (!line.readLine().isEmpty()) {
            assertTrue(line.socket.isConnected());
        }
        line.write("HTTP/1.1 200 OK\r\ncontent-length: " + list.length() + "\r\n\r\n" + list);
    }

    /** The old watch counts until the new place has told its list; then it is left. */
    @Test
    void reloadMovesTheWatchOnceTheNewAddressHasItsList() throws Exception {
        start();
        try (Peer next = new Peer()) {
            node.reload(() -> moved(next, counterPeer));
            Peer.Connection line = next.awaitConnection();
            pushToWatch(list(42, false, entry("s0", endpointPeer.address(), "leaving")));
            expectEvent("changes s0 DRAINING");
            answerLists(line, list(7, true, entry("s9", endpointPeer.address(), "active")));
            expectEvent("whole s9 UP");
            assertTrue(watchConnection.awaitEnd());
            assertEquals("GET /catalog/members?follow=1&since=7 HTTP/1.1", line.readLine());
        }
    }

    /** The signal may come as the node comes up, with the file read before it was replaced. */
    @Test
    void reloadDuringTheStartMovesTheWatch() throws Exception {
        node = newNode(configJson());
        try (Peer next = new Peer()) {
            node.reload(() -> moved(next, counterPeer));
            Thread answering = new Thread(() -> {
                try {
                    watchConnection = next.awaitConnection();
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

    /** Calls go to the new counter once it is up, and the old lines end once nothing is owed on them. */
    @Test
    void reloadMovesTheCounterConnections() throws Exception {
        start();
        Peer.Connection[] old = new Peer.Connection[4];
        for (int i = 0; i < 4; i++) {
            old[i] = counterPeer.awaitConnection();
        }
        try (Peer next = new Peer()) {
            node.reload(() -> moved(discoveryPeer, next));
            Peer.Connection[] lines = new Peer.Connection[4];
            for (int i = 0; i < 4; i++) {
                lines[i] = next.awaitConnection();
            }
            for (Peer.Connection line : old) {
                assertTrue(line.awaitEnd()); // nothing is owed on it
            }
            Peer.Connection client = connectClient();
            sendGet(client, "01", "count", 900);
            expectRequest(1, "count");
            expectEvent("counted 77 TIMEOUT 0.0");
            expectEvent("counted 77 TIMEOUT 0.0");
            int called = 0;
            for (Peer.Connection line : lines) {
                List<String> words = line.readMessage();
                called += words.get(0).equals("CNT.ADD") ? 1 : 0;
            }
            assertEquals(1, called);
        }
    }

    /** A file that cannot be read changes nothing. */
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

    /** The variables are those of the start: the file's discovery wins when it is read again. */
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
        try (Peer next = new Peer()) {
            answerWatch(connectionFrom(process, discoveryPeer));
            connectionFrom(process, counterPeer);
            connectionFrom(process, endpointPeer);
            awaitListening(process);
            Files.writeString(file, configJson().replace(discoveryPeer.address(), next.address()));
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                            .start()
                            .waitFor());
            Peer.Connection line = connectionFrom(process, next);
            answerLists(line, list(7, true, entry("s9", endpointPeer.address(), "active")));
            assertEquals("GET /catalog/members?follow=1&since=7 HTTP/1.1", line.readLine());
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
        Peer.Connection line = peer.pollConnection(100);
        while (line == null) {
            assertTrue(process.isAlive(), () -> "ended with " + process.exitValue());
            line = peer.pollConnection(100);
        }
        return line;
    }

    /** It listens once its start is over. */
    private void awaitListening(Process process) throws Exception {
        while (true) {
            assertTrue(process.isAlive(), () -> "ended with " + process.exitValue());
            try (Peer.Connection line = Peer.Connection.connect(listenPort)) {
                line.sendCommand("PING");
                assertEquals(List.of("+PONG"), line.readMessage());
                return;
            } catch (ConnectException notYet) {
                Thread.sleep(50);
            }
        }
    }
}
