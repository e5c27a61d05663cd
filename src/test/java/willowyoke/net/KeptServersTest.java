package willowyoke.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import willowyoke.Gateway;

/** Connections stand to the servers that the module uses, and to no others. */
class KeptServersTest extends NodeFixture {
    private static Gateway.Server server(String id, Peer at, Gateway.State state) {
        return new Gateway.Server(id, 3, "a", state, "m", 0, 1, Config.dial(at.address()));
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
        node.later(() -> node.release("s0"));
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
        node.later(() -> node.keep(server("s0", app, Gateway.State.UP)));
        app.accept();
    }

    @Test
    void aServerThatIsListedAndNotUsedHasNoConnection() throws Exception {
        start();
        try (Peer other = new Peer();
                Peer used = new Peer()) {
            node.later(() -> {
                node.listed(List.of(server("s1", other, Gateway.State.DRAINING)), false);
                node.listed(List.of(server("s2", used, Gateway.State.UP)), false);
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
            node.later(() -> {
                node.listBegins();
                node.listed(List.of(server("s1", other, Gateway.State.UP)), false);
            });
            expect("changes s1 UP");
            other.accept();
            Peer.Line client = client();
            get(client, "01", "read", 900);
            arrived(1, "read");
            assertEquals("01", server.message().get(2));
            server.value("one");
            assertEquals(List.of("one"), client.message());
            node.later(() -> {
                node.listBegins(); // the one before never ended
                node.listed(List.of(server("s0", app, Gateway.State.UP)), false);
                node.listEnds();
                node.listBegins();
                node.listed(List.of(server("s1", other, Gateway.State.UP)), false);
                node.listEnds();
            });
            assertTrue(server.ended());
            other.accept();
        }
    }

    @Test
    void addressesAreKeptInOneNumber() {
        for (String address : List.of("10.1.0.18:6379", "255.255.255.255:65535", "0.0.0.1:1")) {
            assertEquals(Config.address(address), Config.address(Config.dial(address)));
        }
    }
}
