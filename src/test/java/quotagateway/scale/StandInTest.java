package quotagateway.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.policy.api.EndpointState;

/** The stand-ins speak as the protocol page says. */
@Timeout(30)
class StandInTest {
    private final EventLoopGroup group = StandInLoops.singleThread();

    /** A connection to a stand-in; what comes is read by the line or as text. */
    private static final class Line implements AutoCloseable {
        private final Socket socket;
        private final BufferedReader in;

        Line(InetAddress to, int port) throws IOException {
            socket = new Socket(to, port);
            socket.setSoTimeout(5000);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        String line() throws IOException {
            return in.readLine();
        }

        /** All that comes until this has come. */
        String until(String end) throws IOException {
            StringBuilder text = new StringBuilder();
            while (text.indexOf(end) < 0) {
                int c = in.read();
                assertTrue(c >= 0, "ended after " + text);
                text.append((char) c);
            }
            return text.toString();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static Line to(int port) throws IOException {
        return new Line(InetAddress.getLoopbackAddress(), port);
    }

    @AfterEach
    void end() throws InterruptedException {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await();
    }

    private static String dial(int server) {
        return "127.16.0." + server + ":6379";
    }

    private static String entry(int server, String health) {
        return "{\"host\":\"s-0000000" + server + "\",\"dial\":\"" + dial(server) + "\",\"site\":\"zone-0\","
                + "\"class\":\"m\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
    }

    private DiscoveryStandIn agent(boolean torn, boolean indented) throws InterruptedException {
        return new DiscoveryStandIn(
                group,
                0,
                new EndpointInventory(2, 1),
                StandInTest::dial,
                new DiscoveryStandIn.ListFormat(torn, indented),
                1);
    }

    @Test
    void discoverySendsCompleteListThenChanges() throws Exception {
        String whole = "{\"seq\":1,\"whole\":true,\"hosts\":[" + entry(0, "active") + ',' + entry(1, "active") + "]}";
        String left = "{\"seq\":2,\"whole\":false,\"hosts\":[" + entry(1, "left") + "]}";
        try (DiscoveryStandIn agent = agent(false, false);
                Line line = to(agent.port())) {
            line.write("GET /catalog/members HTTP/1.1\r\nhost: a\r\n\r\n");
            assertTrue(line.until("]}").endsWith("content-length: " + (whole.length() + 1) + "\r\n\r\n" + whole));
            line.write("GET /catalog/members?follow=1&since=1 HTTP/1.1\r\nhost: a\r\n\r\n");
            String head = line.until("]}");
            assertTrue(head.contains("chunked") && head.endsWith("{\"seq\":1,\"whole\":false,\"hosts\":[]}"), head);
            agent.change(Set.of(1), EndpointState.REMOVED, 0);
            assertTrue(line.until("]}").endsWith(left));
            try (Line late = to(agent.port());
                    Line lost = to(agent.port())) {
                late.write("GET /catalog/members?follow=1&since=1 HTTP/1.1\r\nhost: a\r\n\r\n");
                assertTrue(late.until("]}").endsWith(left), "what changed since");
                lost.write("GET /catalog/members?follow=1&since=77 HTTP/1.1\r\nhost: a\r\n\r\n");
                assertTrue(lost.until("]}").endsWith("\"whole\":true,\"hosts\":[" + entry(0, "active") + "]}"));
            }
        }
    }

    @Test
    void listInPartsAndIndentedHasTheSameContent() throws Exception {
        try (DiscoveryStandIn agent = agent(true, true);
                Line line = to(agent.port())) {
            line.write("GET /catalog/members?follow=1&since=0 HTTP/1.1\r\nhost: a\r\n\r\n");
            line.until("\r\n\r\n");
            StringBuilder text = new StringBuilder();
            int parts = 0;
            for (; text.indexOf("]\n}\n") < 0; parts++) {
                for (int left = Integer.parseInt(line.line(), 16); left > 0; left--) {
                    text.append((char) line.in.read());
                }
                assertEquals("", line.line());
            }
            assertTrue(parts > 1, text.toString());
            assertTrue(
                    text.toString()
                            .replaceAll("\\s", "")
                            .contains(entry(0, "active") + ',' + entry(1, "active") + "]}"),
                    text.toString());
        }
    }

    @Test
    void changesDuringSilenceAreNotPushed() throws Exception {
        try (DiscoveryStandIn agent = agent(false, false);
                Line watch = to(agent.port())) {
            watch.write("GET /catalog/members?follow=1&since=1 HTTP/1.1\r\nhost: a\r\n\r\n");
            watch.until("]}");
            agent.setSilent(true);
            agent.change(Set.of(1), EndpointState.REMOVED, 0);
            agent.setSilent(false);
            agent.change(Set.of(0), EndpointState.DRAINING, 0);
            String next = watch.until("]}");
            assertTrue(next.endsWith("{\"seq\":3,\"whole\":false,\"hosts\":[" + entry(0, "leaving") + "]}"), next);
        }
    }

    @Test
    void counterAddsAndRejectsInvalidCalls() throws Exception {
        try (CounterStandIn counter = new CounterStandIn(group, 0, 1000, 0);
                Line line = to(counter.port())) {
            line.write(StandInLoops.command("CNT.ADD", "7", "2.5", "4000")
                    + StandInLoops.command("CNT.ADD", "7", "-1", "4000")
                    + StandInLoops.command("PING")
                    + StandInLoops.command("CNT.ADD", "7", "x", "1")
                    + StandInLoops.command("CNT.ADD", "7", "1", "0")
                    + StandInLoops.command("SELECT", "0"));
            String bulk = "$8\r\n2.500000\r\n$8\r\n1.500000\r\n";
            assertEquals(bulk + "+PONG\r\n-ERR no such call\r\n-ERR no such call\r\n+OK\r\n", line.until("+OK\r\n"));
            assertEquals(2, counter.calls.get());
        }
    }

    @Test
    void endpointsShareAListenerAndDifferByAddress() throws Exception {
        String list = "c=read,t=p,d=200,units=1,spread=1,first=0";
        try (EndpointStandIns place = new EndpointStandIns(group, 300, 0, 0)) {
            assertEquals("127.16.1.4:" + place.port(), place.hostAndPort(260));
            try (Line line = new Line(EndpointStandIns.address(260), place.port())) {
                line.write(StandInLoops.command("CALL.GET", "00000000b4d65521", "1", list));
                assertEquals("*3", line.line());
                assertTrue(line.until("$-1\r\n$-1\r\n").contains("held="));
                assertEquals(1, place.openConnections.get(260));
                line.write(StandInLoops.command("CALL.GET", "00000000b4d65521", "1", "d=soon")
                        + StandInLoops.command("INFO", "load")
                        + StandInLoops.command("CLIENT", "ID")
                        + StandInLoops.command("HELLO", "3"));
                assertEquals(
                        "-SYNTAX -NOPERM +OK -ERR unknown command",
                        line.line() + ' ' + line.line() + ' ' + line.line() + ' ' + line.line());
            }
            assertEquals(1, place.requestsReceived.get(260));
            try (Line other = new Line(EndpointStandIns.address(300), place.port())) {
                assertEquals(-1, other.in.read(), "no server has this address");
            }
        }
    }
}
