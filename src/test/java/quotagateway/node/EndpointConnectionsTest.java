package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.transport.PackedAddress;

/** Connections stand to the servers that the module uses, and to no others. */
class EndpointConnectionsTest extends NodeFixture {
    private static EndpointDescriptor server(String id, Peer at, EndpointState state) {
        return new EndpointDescriptor(id, 3, "a", state, "m", 0, 1, PackedAddress.pack(at.address()));
    }

    @Test
    void aReleaseEndsWhatIsIdleAndLeavesWhatIsOut() throws Exception {
        start();
        Peer.Line client = client();
        get(client, "01", "read", 2000);
        get(client, "02", "read", 2000);
        assertEquals("01", server.message().get(2));
        Peer.Line second = app.accept();
        assertEquals("02", second.message().get(2));
        second.value("two");
        node.eventLoop().execute(() -> node.policyActions().releaseEndpoint("s0"));
        assertTrue(second.ended());
        server.value("one");
        assertEquals(List.of("one"), client.message());
        assertEquals(List.of("two"), client.message());
        assertTrue(server.ended(), "nothing comes after that");
        told.clear();
        get(client, "03", "read", 2000);
        arrived(3, "read");
        expect("ended 3 0 NO_CONNECTION false");
        assertEquals(List.of("-ERR failed"), client.message());
        node.eventLoop().execute(() -> node.policyActions().retainEndpoint(server("s0", app, EndpointState.UP)));
        app.accept();
    }

    @Test
    void aServerThatIsListedAndNotUsedHasNoConnection() throws Exception {
        start();
        try (Peer other = new Peer();
                Peer used = new Peer()) {
            node.eventLoop().execute(() -> {
                node.discoveryListener().onEndpoints(List.of(server("s1", other, EndpointState.DRAINING)), false);
                node.discoveryListener().onEndpoints(List.of(server("s2", used, EndpointState.UP)), false);
            });
            used.accept();
            assertEquals(null, other.poll(0));
            expect("changes s1 DRAINING");
        }
    }

    @Test
    void aListInPartsEndsConnectionsAtItsEndAndNoSooner() throws Exception {
        start();
        try (Peer other = new Peer()) {
            node.eventLoop().execute(() -> {
                node.discoveryListener().onEndpointListStarted();
                node.discoveryListener().onEndpoints(List.of(server("s1", other, EndpointState.UP)), false);
            });
            expect("changes s1 UP");
            other.accept();
            Peer.Line client = client();
            get(client, "01", "read", 900);
            arrived(1, "read");
            assertEquals("01", server.message().get(2));
            server.value("one");
            assertEquals(List.of("one"), client.message());
            node.eventLoop().execute(() -> {
                node.discoveryListener().onEndpointListStarted(); // the one before never ended
                node.discoveryListener().onEndpoints(List.of(server("s0", app, EndpointState.UP)), false);
                node.discoveryListener().onEndpointListCompleted();
                node.discoveryListener().onEndpointListStarted();
                node.discoveryListener().onEndpoints(List.of(server("s1", other, EndpointState.UP)), false);
                node.discoveryListener().onEndpointListCompleted();
            });
            assertTrue(server.ended());
            other.accept();
        }
    }

    @Test
    void addressesAreKeptInOneNumber() {
        for (String address : List.of("10.1.0.18:6379", "255.255.255.255:65535", "0.0.0.1:1")) {
            assertEquals(PackedAddress.parse(address), PackedAddress.unpack(PackedAddress.pack(address)));
        }
    }
}
