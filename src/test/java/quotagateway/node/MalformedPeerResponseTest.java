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

/** Responses of endpoints and of the counter that are malformed, or have more behind them. */
class MalformedPeerResponseTest extends NodeFixture {
    private Peer.Connection sendGetOnNewConnection(Peer.Connection client, int id) throws Exception {
        sendGet(client, "0" + id, "read", 5000);
        expectRequest(id, "read");
        Peer.Connection connection = endpointPeer.awaitConnection();
        assertEquals("0" + id, connection.readMessage().get(2));
        return connection;
    }

    /** A second copy or half a message right behind a response must not be taken for that of the next request. */
    @Test
    void bytesBehindAResponseCloseTheConnection() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 5000);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        String[] behind = {"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n", "*3\r\n$3", "noise"};
        Peer.Connection connection = endpointConnection;
        for (int i = 1; i <= behind.length; i++) {
            connection.write("*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n" + behind[i - 1]);
            assertEquals(List.of("one"), client.readMessage());
            expectEvent("ended " + i + " 0 OK true");
            assertTrue(connection.awaitEnd(), behind[i - 1]);
            connection = sendGetOnNewConnection(client, i + 1);
        }
        connection.sendValue("own");
        assertEquals(List.of("own"), client.readMessage());
    }

    /** The decoder keeps half a message to itself: bytes are seen even where no message comes of them. */
    @Test
    void bytesOnAnIdleConnectionCloseIt() throws Exception {
        start();
        endpointConnection.write("*3\r\n$5\r\nst");
        assertTrue(endpointConnection.awaitEnd());
        Peer.Connection connection = sendGetOnNewConnection(connectClient(), 1);
        connection.sendValue("v");
        expectEvent("ended 1 0 OK true");
    }

    /** It may have been executed, and what comes next on the connection belongs to no request. */
    @Test
    void malformedResponseIsAnErrorAndClosesTheConnection() throws Exception {
        start();
        endpointConnection.close();
        Peer.Connection client = connectClient();
        String[] forms = {
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
        for (int i = 1; i <= forms.length; i++) {
            Peer.Connection connection = sendGetOnNewConnection(client, i);
            connection.write(forms[i - 1]);
            expectEvent("ended " + i + " 0 ERROR false");
            assertEquals(List.of("-ERR failed"), client.readMessage());
            assertTrue(connection.awaitEnd(), forms[i - 1]);
        }
    }

    /** A value that is shorter than its length must not hold its request until the client's timeout. */
    @Test
    void stalledIncompleteResponseIsNotWaitedFor() throws Exception {
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

    /** Half an array is an error, half a line a reset: with both the request may have been executed. */
    @Test
    void incompleteResponseAtTheCloseCountsAsExecuted() throws Exception {
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

    /** The value is passed on, and the connection is used again. */
    @Test
    void malformedLoadReportDoesNotSpoilItsValue() throws Exception {
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

    /** The amount was added, but the connection cannot be trusted, and a total of NaN would spoil every sum. */
    @Test
    void counterReplyWithoutANumberClosesItsConnection() throws Exception {
        start();
        List<Peer.Connection> connections = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            connections.add(counterPeer.awaitConnection());
        }
        Peer.Connection client = connectClient();
        Peer.Connection connection = connections.get((int) Math.floorMod(77L, 4L));
        String[] spoilt = {
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
        for (int i = 1; i <= spoilt.length; i++) {
            sendGet(client, "0" + i, "count", 5000);
            expectRequest(i, "count");
            for (List<String> words = connection.readMessage();
                    words.get(0).equals("PING");
                    words = connection.readMessage()) {
                connection.write("+PONG\r\n");
            }
            connection.write(spoilt[i - 1]);
            expectEvent("counted 77 ERROR 0.0");
            expectEvent("counted 77 RESET 0.0"); // the second call was behind it on the same connection
            connection = counterPeer.awaitConnection();
        }
    }

    /** Collects what the network library logs. */
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

    /** The codec reports half an array behind the end of its connection: no exception may leave the handler. */
    @Test
    void incompleteArrayAtTheEndOfAConnectionHarmsNothingElse() throws Exception {
        List<String> warned = new CopyOnWriteArrayList<>();
        Logger library = Logger.getLogger("io.netty");
        Handler noting = new WarningCollector(warned);
        library.addHandler(noting);
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
            assertEquals(List.of(), warned);
        } finally {
            library.removeHandler(noting);
        }
    }

    /** A counter name keeps to one connection: while that is down all its calls are lost. */
    @Test
    void brokenCounterConnectionIsRenewedAtOnce() throws Exception {
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
