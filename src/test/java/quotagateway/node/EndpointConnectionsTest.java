package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.transport.PackedAddress;

/** The node keeps connections only to the endpoints that the policy retains. */
class EndpointConnectionsTest extends NodeFixture {
    private static EndpointDescriptor endpointDescriptor(String id, Peer peer, EndpointState state) {
        return new EndpointDescriptor(id, 3, "a", state, "m", 0, 1, PackedAddress.pack(peer.address()));
    }

    @Test
    void releaseClosesIdleConnectionsAndLetsAttemptsEnd() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 2000);
        sendGet(client, "02", "read", 2000);
        assertEquals("01", endpointConnection.readMessage().get(2));
        Peer.Connection secondConnection = endpointPeer.awaitConnection();
        assertEquals("02", secondConnection.readMessage().get(2));
        secondConnection.sendValue("two");
        node.eventLoop().execute(() -> node.policyActions().releaseEndpoint("s0"));
        assertTrue(secondConnection.awaitEnd());
        endpointConnection.sendValue("one");
        assertEquals(List.of("one"), client.readMessage());
        assertEquals(List.of("two"), client.readMessage());
        assertTrue(endpointConnection.awaitEnd(), "the connection stays open after its last attempt");
        policyEvents.clear();
        sendGet(client, "03", "read", 2000);
        expectRequest(3, "read");
        expectEvent("ended 3 0 NO_CONNECTION false");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        node.eventLoop()
                .execute(() ->
                        node.policyActions().retainEndpoint(endpointDescriptor("s0", endpointPeer, EndpointState.UP)));
        endpointPeer.awaitConnection();
    }

    /**
     * An attempt waits for a connection to its endpoint, and the endpoint is reported as draining before the connection
     * is up. The attempt is not sent, and the policy is notified immediately, so that it can retry elsewhere.
     */
    @Test
    void attemptWhoseEndpointBeginsToDrainBeforeItIsWrittenIsNotSent() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 2000);
        expectRequest(1, "read");
        assertEquals("01", endpointConnection.readMessage().get(2)); // the connection is in use from here on
        sendGet(client, "02", "hold", 2000);
        expectRequest(2, "hold");
        node.eventLoop().execute(() -> {
            node.policyActions().sendAttempt(2, "s0", 0);
            node.discoveryListener()
                    .onEndpoints(List.of(endpointDescriptor("s0", endpointPeer, EndpointState.DRAINING)), false);
        });
        expectEvent("changes s0 DRAINING");
        expectEvent("ended 2 0 NO_CONNECTION false");
        assertTrue(endpointPeer.awaitConnection().awaitEnd(), "the connection for the attempt carries data");
        endpointConnection.sendValue("one");
        assertEquals(List.of("one"), client.readMessage());
        assertEquals(List.of("-ERR failed"), client.readMessage(), "the scripted policy does not retry");
    }

    @Test
    void endpointThatIsListedAndNotRetainedHasNoConnection() throws Exception {
        start();
        try (Peer otherPeer = new Peer();
                Peer retainedPeer = new Peer()) {
            node.eventLoop().execute(() -> {
                node.discoveryListener()
                        .onEndpoints(List.of(endpointDescriptor("s1", otherPeer, EndpointState.DRAINING)), false);
                node.discoveryListener()
                        .onEndpoints(List.of(endpointDescriptor("s2", retainedPeer, EndpointState.UP)), false);
            });
            retainedPeer.awaitConnection();
            assertEquals(null, otherPeer.pollConnection(0));
            expectEvent("changes s1 DRAINING");
        }
    }

    @Test
    void listInPartsClosesConnectionsOnlyAtItsEnd() throws Exception {
        start();
        try (Peer otherPeer = new Peer()) {
            node.eventLoop().execute(() -> {
                node.discoveryListener().onEndpointListStarted();
                node.discoveryListener()
                        .onEndpoints(List.of(endpointDescriptor("s1", otherPeer, EndpointState.UP)), false);
            });
            expectEvent("changes s1 UP");
            otherPeer.awaitConnection();
            Peer.Connection client = connectClient();
            sendGet(client, "01", "read", 900);
            expectRequest(1, "read");
            assertEquals("01", endpointConnection.readMessage().get(2));
            endpointConnection.sendValue("one");
            assertEquals(List.of("one"), client.readMessage());
            node.eventLoop().execute(() -> {
                node.discoveryListener().onEndpointListStarted(); // the previously started list never ends
                node.discoveryListener()
                        .onEndpoints(List.of(endpointDescriptor("s0", endpointPeer, EndpointState.UP)), false);
                node.discoveryListener().onEndpointListCompleted();
                node.discoveryListener().onEndpointListStarted();
                node.discoveryListener()
                        .onEndpoints(List.of(endpointDescriptor("s1", otherPeer, EndpointState.UP)), false);
                node.discoveryListener().onEndpointListCompleted();
            });
            assertTrue(endpointConnection.awaitEnd());
            otherPeer.awaitConnection();
        }
    }

    @Test
    void packedAddressesRoundTrip() {
        for (String address : List.of("10.1.0.18:6379", "255.255.255.255:65535", "0.0.0.1:1")) {
            assertEquals(PackedAddress.parse(address), PackedAddress.unpack(PackedAddress.pack(address)));
        }
    }
}
