package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** Responses of endpoints and replies of the counter that are malformed or followed by extra bytes. */
class MalformedPeerResponseTest extends NodeFixture {
    private Peer.Connection sendGetOnNewConnection(Peer.Connection client, int id) throws Exception {
        sendGet(client, "0" + id, "read", 5000);
        expectRequest(id, "read");
        Peer.Connection connection = endpointPeer.awaitConnection();
        assertEquals("0" + id, connection.readMessage().get(2));
        return connection;
    }

    /** A duplicate or an incomplete message after a response must not be taken for the next request's response. */
    @Test
    void bytesAfterAResponseCloseTheConnection() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 5000);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        String[] extraBytes = {"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n", "*3\r\n$3", "noise"};
        Peer.Connection connection = endpointConnection;
        for (int i = 1; i <= extraBytes.length; i++) {
            connection.write("*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n" + extraBytes[i - 1]);
            assertEquals(List.of("one"), client.readMessage());
            expectEvent("ended " + i + " 0 OK true");
            assertTrue(connection.awaitEnd(), extraBytes[i - 1]);
            connection = sendGetOnNewConnection(client, i + 1);
        }
        connection.sendValue("own");
        assertEquals(List.of("own"), client.readMessage());
    }

    /** The decoder buffers an incomplete message: unexpected bytes are detected even if no message follows. */
    @Test
    void bytesOnAnIdleConnectionCloseIt() throws Exception {
        start();
        endpointConnection.write("*3\r\n$5\r\nst");
        assertTrue(endpointConnection.awaitEnd());
        Peer.Connection connection = sendGetOnNewConnection(connectClient(), 1);
        connection.sendValue("v");
        expectEvent("ended 1 0 OK true");
    }

    /** The request may have been executed, and further bytes on the connection belong to no request. */
    @Test
    void malformedResponseIsAnErrorAndClosesTheConnection() throws Exception {
        start();
        endpointConnection.close();
        Peer.Connection client = connectClient();
        String[] malformedResponses = {
            "*-1\r\n",
            "*3\r\n$-1\r\n$-1\r\n$-1\r\n",
            "+OK\r\n",
            ":1\r\n",
            "$3\r\nabc\r\n",
            "*4\r\n$1\r\na\r\n$-1\r\n$-1\r\n$-1\r\n",
            "*2\r\n$1\r\na\r\n$-1\r\n",
            "-BUSYNESS\r\n",
            "noise\r\n",
            "*3\r\n$3\r\nabcde\r\n$-1\r\n$-1\r\n",
            "*3\r\n$3000000000\r\nabc",
            "*3\r\n$-7\r\n"
        };
        for (int i = 1; i <= malformedResponses.length; i++) {
            Peer.Connection connection = sendGetOnNewConnection(client, i);
            connection.write(malformedResponses[i - 1]);
            expectEvent("ended " + i + " 0 ERROR false");
            assertEquals(List.of("-ERR failed"), client.readMessage());
            assertTrue(connection.awaitEnd(), malformedResponses[i - 1]);
        }
    }

    /** A value shorter than its stated length must not delay its request until the client's timeout. */
    @Test
    void stalledIncompleteResponseFailsItsRequest() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 60_000);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        endpointConnection.write("*3\r\n$50\r\nabc\r\n$-1\r\n$-1\r\n");
        expectEvent("ended 1 0 ERROR false");
        assertEquals(List.of("-ERR failed"), client.readMessage());
        assertTrue(endpointConnection.awaitEnd());
    }

    /** An incomplete array is an error, an incomplete line a reset: in both cases the request may have run. */
    @Test
    void incompleteResponseAtTheCloseCountsAsPossiblyExecuted() throws Exception {
        start();
        Peer.Connection client = connectClient();
        for (int i = 1; i <= 2; i++) {
            sendGet(client, "0" + i, "read", 60_000);
            expectRequest(i, "read");
            Peer.Connection connection = i == 1 ? endpointConnection : endpointPeer.awaitConnection();
            connection.readMessage();
            connection.write(i == 1 ? "*3\r\n$5\r\nst" : "-ERR fai");
            connection.close();
            expectEvent("ended " + i + (i == 1 ? " 0 ERROR false" : " 0 RESET false"));
            assertEquals(List.of("-ERR failed"), client.readMessage());
        }
        sendGetOnNewConnection(client, 3).sendValue("own");
        assertEquals(List.of("own"), client.readMessage());
    }

    /** The value is forwarded, and the connection is reused. */
    @Test
    void malformedLoadReportDoesNotAffectItsValue() throws Exception {
        start();
        Peer.Connection client = connectClient();
        for (int i = 1; i <= 2; i++) {
            sendGet(client, "0" + i, "read", 5000);
            expectRequest(i, "read");
            endpointConnection.readMessage();
            endpointConnection.write("*3\r\n$1\r\nv\r\n$2\r\n?%\r\n$12\r\nutil=x,=,,ab\r\n");
            expectEvent("ended " + i + " 0 OK true");
            assertEquals(List.of("v"), client.readMessage());
        }
    }

    /** The amount was added, but the connection cannot be trusted, and a total of NaN would corrupt every sum. */
    @Test
    void counterReplyWithoutANumberClosesItsConnection() throws Exception {
        start();
        List<Peer.Connection> connections = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            connections.add(counterPeer.awaitConnection());
        }
        Peer.Connection client = connectClient();
        Peer.Connection connection = connections.get((int) Math.floorMod(77L, 4L));
        String[] malformedReplies = {
            "$3\r\nNaN\r\n",
            "$8\r\nInfinity\r\n",
            "$3\r\n3x4\r\n",
            "$-1\r\n",
            ":5\r\n",
            "+OK\r\n",
            "noise\r\n",
            "$4\r\n0x1p\r\n",
            "$9\r\n12"
        };
        for (int i = 1; i <= malformedReplies.length; i++) {
            sendGet(client, "0" + i, "count", 5000);
            expectRequest(i, "count");
            for (List<String> words = connection.readMessage();
                    words.get(0).equals("PING");
                    words = connection.readMessage()) {
                connection.write("+PONG\r\n");
            }
            connection.write(malformedReplies[i - 1]);
            expectEvent("counted 77 ERROR 0.0");
            expectEvent("counted 77 RESET 0.0"); // the second call was queued on the same connection
            connection = counterPeer.awaitConnection();
        }
    }

    /** Collects the log messages of the network library. */
    private static final class WarningCollector extends Handler {
        private final List<String> messages;

        WarningCollector(List<String> messages) {
            this.messages = messages;
        }

        @Override
        public void publish(LogRecord record) {
            messages.add(record.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    /** The codec reports an incomplete array after the connection's end: no exception may leave the handler. */
    @Test
    void incompleteArrayAtTheEndOfAConnectionIsContained() throws Exception {
        List<String> warnings = new CopyOnWriteArrayList<>();
        Logger nettyLogger = Logger.getLogger("io.netty");
        Handler collector = new WarningCollector(warnings);
        nettyLogger.addHandler(collector);
        try {
            start();
            List<Peer.Connection> connections = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                connections.add(counterPeer.awaitConnection());
            }
            Peer.Connection client = connectClient();
            sendGet(client, "01", "count", 5000);
            expectRequest(1, "count");
            Peer.Connection connection = connections.get((int) Math.floorMod(77L, 4L));
            connection.readMessage();
            connection.readMessage();
            connection.write("*2\r\n$1\r\n5\r\n");
            connection.close();
            expectEvent("counted 77 RESET 0.0");
            expectEvent("counted 77 RESET 0.0");
            sendGet(client, "02", "count", 5000);
            expectRequest(2, "count");
            connection = counterPeer.awaitConnection();
            assertEquals(List.of("CNT.ADD", "77", "-2.5", "4000"), connection.readMessage());
            connection.readMessage();
            connection.write("$1\r\n5\r\n$1\r\n6\r\n");
            expectEvent("counted 77 OK 5.0");
            expectEvent("counted 77 OK 6.0");
            assertEquals(List.of(), warnings);
        } finally {
            nettyLogger.removeHandler(collector);
        }
    }

    /** All calls for a counter name use one connection: while it is down these calls are lost. */
    @Test
    void brokenCounterConnectionIsRenewedImmediately() throws Exception {
        start();
        List<Peer.Connection> connections = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            connections.add(counterPeer.awaitConnection());
        }
        Peer.Connection client = connectClient();
        sendGet(client, "01", "count", 5000);
        expectRequest(1, "count");
        connections.get((int) Math.floorMod(77L, 4L)).close();
        expectEvent("counted 77 RESET 0.0");
        expectEvent("counted 77 RESET 0.0");
        sendGet(client, "02", "count", 5000);
        expectRequest(2, "count");
        Peer.Connection connection = counterPeer.awaitConnection();
        assertEquals(List.of("CNT.ADD", "77", "-2.5", "4000"), connection.readMessage());
        connection.readMessage();
        connection.write("$1\r\n5\r\n$1\r\n6\r\n");
        expectEvent("counted 77 OK 5.0");
        expectEvent("counted 77 OK 6.0");
    }
}
