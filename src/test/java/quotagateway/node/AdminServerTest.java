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

/** Calls at the operators' door: good ones, wrong ones, and callers that never finish one. */
class AdminServerTest extends NodeFixture {
    private Peer.Line caller() throws Exception {
        Peer.Line line = Peer.Line.to(((InetSocketAddress) node.adminAddress()).getPort());
        open.add(line);
        return line;
    }

    @Test
    void healthIsYesWhileClientsAreTaken() throws Exception {
        start();
        assertEquals(List.of("200", "takes clients\n"), admin(node, "GET", "/admin/health"));
        drained = true;
        get(client(), "01", "hold", 20_000); // keeps the node for a while
        arrived(1, "hold");
        Thread draining = new Thread(node::drain);
        draining.start();
        String status = "200";
        while (status.equals("200")) {
            status = admin(node, "GET", "/admin/health").get(0);
        }
        assertEquals("503", status);
        draining.join();
    }

    @Test
    void wrongCallsGetANo() throws Exception {
        start();
        assertEquals("404", admin(node, "GET", "/").get(0));
        assertEquals("404", admin(node, "GET", "/admin/healthy").get(0));
        assertEquals("405", admin(node, "POST", "/admin/health").get(0));
        assertEquals("200", admin(node, "GET", "/admin/health?verbose=1").get(0));
        Peer.Line garbage = caller();
        garbage.write("\u0000\u0001garbage\r\n\r\n");
        assertEquals("400", answer(garbage).get(0));
        Peer.Line line = caller();
        line.write("GET /" + "x".repeat(5000) + " HTTP/1.1\r\n\r\n");
        assertEquals("414", answer(line).get(0));
        Peer.Line head = caller();
        head.write("GET /admin/health HTTP/1.1\r\nx: " + "x".repeat(9000) + "\r\n\r\n");
        assertEquals("431", answer(head).get(0));
        Peer.Line body = caller();
        body.write("GET /admin/health HTTP/1.1\r\ncontent-length: 100000\r\n\r\n");
        assertEquals("413", answer(body).get(0));
    }

    /** A caller may end its own side behind the call; the second call on a connection is not heard. */
    @Test
    void oneCallAConnection() throws Exception {
        start();
        Peer.Line line = caller();
        line.write("GET /admin/health HTTP/1.1\r\n\r\nGET /admin/health HTTP/1.1\r\n\r\n");
        line.socket.shutdownOutput();
        assertEquals(List.of("200", "takes clients\n"), answer(line));
    }

    /** Callers that send nothing or half a call hold neither the next call nor the sockets for long. */
    @Test
    void idleAndHalfCallersGiveWay() throws Exception {
        start();
        List<Peer.Line> idle = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Peer.Line line = caller();
            if (i % 2 == 0) {
                line.write("GET /admin/hea");
            }
            idle.add(line);
        }
        assertEquals("200", admin(node, "GET", "/admin/health").get(0));
        for (Peer.Line line : idle) {
            assertTrue(line.ended());
        }
    }

    @Test
    void withoutAnAddressThereIsNoDoor() throws Exception {
        GatewayConfig config =
                GatewayConfig.of(Json.read(config().replace("\"control\":\"127.0.0.1:0\",", "")), Map.of());
        assertNull(config.adminAddress());
        config = GatewayConfig.of(Json.read(config()), Map.of("EDGE_CONTROL", "127.0.0.2:7000"));
        assertEquals(new InetSocketAddress("127.0.0.2", 7000), config.adminAddress());
    }
}
