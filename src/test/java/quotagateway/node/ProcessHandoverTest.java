package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A second process of the same edge node comes up beside the first, and takes its place. */
class ProcessHandoverTest extends NodeFixture {
    /** The second could not bind; the first ended connections with requests on them. */
    @Test
    void theNewOneTakesClientsWhileTheOldOneFinishes() throws Exception {
        start();
        GatewayNode old = node;
        Peer.Line before = client();
        get(before, "01", "read", 5000);
        arrived(1, "read");
        assertEquals("01", server.message().get(2));
        Peer.Line oldServer = server;
        Peer.Line half = client();
        half.write("*4\r\n$8\r\nCALL.GET\r\n$16\r\n" + CUSTOMER + "\r\n$2\r\n02\r\n$19\r\n");
        half.write("c=re");

        listen = ((InetSocketAddress) old.listenAddress()).getPort();
        start();
        assertEquals("200", admin(node, "GET", "/admin/health").get(0));
        Thread draining = new Thread(old::drain);
        draining.start();
        while (admin(old, "GET", "/admin/health").get(0).equals("200")) {
            Thread.onSpinWait();
        }
        for (int i = 0; i < 100; i++) { // none is let in by the old one and reset
            try (Peer.Line line = Peer.Line.to(listen)) {
                get(line, "1" + i, "refuse", 900);
                assertEquals(List.of("-BUSY 1500"), line.message());
            }
        }
        half.write("fuse,t=p,d=1500\r\n"); // begun before: taken by the old one, and answered
        assertEquals(List.of("-BUSY 1500"), half.message());
        assertTrue(half.ended());
        oldServer.value("one");
        assertEquals(List.of("one"), before.message());
        assertTrue(before.ended());
        draining.join();
        assertEquals("200", admin(node, "GET", "/admin/health").get(0));
    }

    @Test
    void aProcessKnowsWhetherAnotherHasTakenItsPlace() throws Exception {
        Path folder = state;
        ProcessHandover first = new ProcessHandover(folder, "n0");
        assertFalse(first.hasSuccessor(), "no file yet");
        assertFalse(first.hasPredecessor());
        first.claim();
        assertTrue(new ProcessHandover(folder, "n0").hasPredecessor());
        assertFalse(first.hasSuccessor());
        ProcessHandover second = new ProcessHandover(folder, "n0");
        second.claim();
        assertTrue(first.hasSuccessor());
        assertFalse(second.hasSuccessor());
        assertFalse(new ProcessHandover(folder.resolve("none"), "n0").hasSuccessor(), "no such folder");
        try (var files = Files.list(folder)) {
            assertEquals(1, files.count(), "nothing half written is left");
        }
    }

    /** The two share one limit on sockets: the new one leaves the old one's connections their places. */
    @Test
    void theNewOneTakesFewClientsAtFirst() throws Exception {
        sockets = 40;
        new ProcessHandover(state, "n0").claim();
        start();
        Peer.Line first = client();
        first.command("PING");
        assertEquals(List.of("+PONG"), first.message());
        for (int i = 0; i < 13; i++) { // 34 in 100 of 40 with it
            Peer.Line line = client();
            line.command("PING");
            assertEquals(List.of("+PONG"), line.message());
        }
        assertTrue(first.ended());
    }
}
