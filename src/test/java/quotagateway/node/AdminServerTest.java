package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quotagateway.config.GatewayConfig;
import quotagateway.config.Json;

/** Calls to the admin endpoint: valid calls, invalid calls, and callers that never complete a call. */
class AdminServerTest extends NodeFixture {
    private Peer.Connection connectCaller() throws Exception {
        Peer.Connection connection = Peer.Connection.connect(((InetSocketAddress) node.adminAddress()).getPort());
        closeables.add(connection);
        return connection;
    }

    @Test
    void healthIsOkOnlyWhileClientsAreAccepted() throws Exception {
        start();
        assertEquals(List.of("200", "takes clients\n"), callAdmin(node, "GET", "/admin/health"));
        drained = true;
        sendGet(connectClient(), "01", "hold", 20_000); // an open request: the shutdown waits for it
        expectRequest(1, "hold");
        Thread draining = new Thread(node::drain);
        draining.start();
        String status = "200";
        while (status.equals("200")) {
            status = callAdmin(node, "GET", "/admin/health").get(0);
        }
        assertEquals("503", status);
        draining.join();
    }

    @Test
    void wrongCallsAreRefusedWithTheirStatus() throws Exception {
        start();
        assertEquals("404", callAdmin(node, "GET", "/").get(0));
        assertEquals("404", callAdmin(node, "GET", "/admin/healthy").get(0));
        assertEquals("405", callAdmin(node, "POST", "/admin/health").get(0));
        assertEquals("200", callAdmin(node, "GET", "/admin/health?verbose=1").get(0));
        Peer.Connection garbage = connectCaller();
        garbage.write("\u0000\u0001garbage\r\n\r\n");
        assertEquals("400", readHttpResponse(garbage).get(0));
        Peer.Connection connection = connectCaller();
        connection.write("GET /" + "x".repeat(5000) + " HTTP/1.1\r\n\r\n");
        assertEquals("414", readHttpResponse(connection).get(0));
        Peer.Connection head = connectCaller();
        head.write("GET /admin/health HTTP/1.1\r\nx: " + "x".repeat(9000) + "\r\n\r\n");
        assertEquals("431", readHttpResponse(head).get(0));
        Peer.Connection body = connectCaller();
        body.write("GET /admin/health HTTP/1.1\r\ncontent-length: 100000\r\n\r\n");
        assertEquals("413", readHttpResponse(body).get(0));
    }

    /** A caller may half-close the connection after its call; a second call on the connection is ignored. */
    @Test
    void connectionClosesAfterItsFirstCall() throws Exception {
        start();
        Peer.Connection connection = connectCaller();
        connection.write("GET /admin/health HTTP/1.1\r\n\r\nGET /admin/health HTTP/1.1\r\n\r\n");
        connection.socket.shutdownOutput();
        assertEquals(List.of("200", "takes clients\n"), readHttpResponse(connection));
    }

    /** Callers that send nothing or an incomplete call neither delay the next call nor hold descriptors for long. */
    @Test
    void idleAndIncompleteCallersGiveWayToNewOnes() throws Exception {
        start();
        List<Peer.Connection> idle = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Peer.Connection connection = connectCaller();
            if (i % 2 == 0) {
                connection.write("GET /admin/hea");
            }
            idle.add(connection);
        }
        assertEquals("200", callAdmin(node, "GET", "/admin/health").get(0));
        for (Peer.Connection connection : idle) {
            assertTrue(connection.awaitEnd());
        }
    }

    @Test
    void withoutAnAddressThereIsNoAdminEndpoint() throws Exception {
        GatewayConfig config =
                GatewayConfig.of(Json.read(configJson().replace("\"control\":\"127.0.0.1:0\",", "")), Map.of());
        assertNull(config.adminAddress());
        config = GatewayConfig.of(Json.read(configJson()), Map.of("EDGE_CONTROL", "127.0.0.2:7000"));
        assertEquals(new InetSocketAddress("127.0.0.2", 7000), config.adminAddress());
    }
}
