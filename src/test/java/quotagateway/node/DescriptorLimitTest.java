package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A node in a separate process whose file descriptors the operating system limits. */
class DescriptorLimitTest extends NodeProcessFixture {
    private static final int DESCRIPTOR_LIMIT = 128;
    /** Number of connections to the counter. */
    private static final int COUNTER_CONNECTIONS = 4;

    private final Peer otherEndpoint;

    DescriptorLimitTest() throws IOException {
        otherEndpoint = new Peer();
        closeables.add(otherEndpoint);
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
        Process node = startNode(DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT);
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
        Process node = startNode(DESCRIPTOR_LIMIT, 1024);
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
}
