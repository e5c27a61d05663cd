package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Answers of app servers and of the counter that are spoilt, or bring more than belongs to them. */
class MalformedPeerResponseTest extends NodeFixture {
    private Peer.Connection next(Peer.Connection client, int id) throws Exception {
        sendGet(client, "0" + id, "read", 5000);
        expectRequest(id, "read");
        Peer.Connection line = endpointPeer.awaitConnection();
        assertEquals("0" + id, line.readMessage().get(2));
        return line;
    }

    /** A second copy, or half a message, right behind an answer is not the next request's value. */
    @Test
    void bytesBehindAResponseCloseTheConnection() throws Exception {
        start();
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", 5000);
        expectRequest(1, "read");
        endpointConnection.readMessage();
        String[] behind = {"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n", "*3\r\n$3", "noise"};
        Peer.Connection line = endpointConnection;
        for (int i = 1; i <= behind.length; i++) {
            line.write("*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n" + behind[i - 1]);
            assertEquals(List.of("one"), client.readMessage());
            expectEvent("ended " + i + " 0 OK true");
            assertTrue(line.awaitEnd(), behind[i - 1]);
            line = next(client, i + 1);
        }
        line.sendValue("own");
        assertEquals(List.of("own"), client.readMessage());
    }

    /** Also when nothing is asked on the connection: the decoder keeps half a message to itself. */
    @Test
    void bytesOnAnIdleConnectionCloseIt() throws Exception {
        start();
        endpointConnection.write("*3\r\n$5\r\nst");
        assertTrue(endpointConnection.awaitEnd());
        Peer.Connection line = next(connectClient(), 1);
        line.sendValue("v");
        expectEvent("ended 1 0 OK true");
    }

    /** It may have run, and what comes next on the connection belongs to nobody. */
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
            Peer.Connection line = next(client, i);
            line.write(forms[i - 1]);
            expectEvent("ended " + i + " 0 ERROR false");
            assertEquals(List.of("-ERR failed"), client.readMessage());
            assertTrue(line.awaitEnd(), forms[i - 1]);
        }
    }

    /** A value whose length is longer than what comes kept its request until the client's time was up. */
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

    /** Half an array is an error by the codec's word, half a line a reset: by both it may have run. */
    @Test
    void incompleteResponseAtTheCloseCountsAsExecuted() throws Exception {
        start();
        Peer.Connection client = connectClient();
        for (int i = 1; i <= 2; i++) {
            sendGet(client, "0" + i, "read", 60_000);
            expectRequest(i, "read");
            Peer.Connection line = i == 1 ? endpointConnection : endpointPeer.awaitConnection();
            line.readMessage();
            line.write(i == 1 ? "*3\r\n$5\r\nst" : "-ERR fai");
            line.close();
            expectEvent("ended " + i + (i == 1 ? " 0 ERROR false" : " 0 RESET false"));
            assertEquals(List.of("-ERR failed"), client.readMessage());
        }
        next(client, 3).sendValue("own");
        assertEquals(List.of("own"), client.readMessage());
    }

    /** A report that cannot be read spoils no value, and the connection is as good as before. */
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

    /** No number in it: the amount was added; the line is of no use, and NaN would stay in all sums. */
    @Test
    void counterReplyWithoutANumberClosesItsConnection() throws Exception {
        start();
        List<Peer.Connection> lines = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            lines.add(counterPeer.awaitConnection());
        }
        Peer.Connection client = connectClient();
        Peer.Connection line = lines.get((int) Math.floorMod(77L, 4L));
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
            for (List<String> words = line.readMessage(); words.get(0).equals("PING"); words = line.readMessage()) {
                line.write("+PONG\r\n");
            }
            line.write(spoilt[i - 1]);
            expectEvent("counted 77 ERROR 0.0");
            expectEvent("counted 77 RESET 0.0"); // the second call was behind it
            line = counterPeer.awaitConnection();
        }
    }

    /** The library tells of half an array behind the end of its line: no exception may leave the handler. */
    @Test
    void incompleteArrayAtTheEndOfAConnectionHarmsNothingElse() throws Exception {
        List<String> warned = new java.util.concurrent.CopyOnWriteArrayList<>();
        java.util.logging.Logger library = java.util.logging.Logger.getLogger("io.netty");
        java.util.logging.Handler noting = new java.util.logging.Handler() {
            @Override
            public void publish(java.util.logging.LogRecord record) {
                warned.add(record.getMessage());
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        library.addHandler(noting);
        try {
            start();
            List<Peer.Connection> lines = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                lines.add(counterPeer.awaitConnection());
            }
            Peer.Connection client = connectClient();
            sendGet(client, "01", "count", 5000);
            expectRequest(1, "count");
            Peer.Connection line = lines.get((int) Math.floorMod(77L, 4L));
            line.readMessage();
            line.readMessage();
            line.write("*2\r\n$1\r\n5\r\n");
            line.close();
            expectEvent("counted 77 RESET 0.0");
            expectEvent("counted 77 RESET 0.0");
            sendGet(client, "02", "count", 5000);
            expectRequest(2, "count");
            line = counterPeer.awaitConnection();
            assertEquals(List.of("CNT.ADD", "77", "-2.5", "4000"), line.readMessage());
            line.readMessage();
            line.write("$1\r\n5\r\n$1\r\n6\r\n");
            expectEvent("counted 77 OK 5.0");
            expectEvent("counted 77 OK 6.0");
            assertEquals(List.of(), warned);
        } finally {
            library.removeHandler(noting);
        }
    }

    /** A line that was reset was down for 100 ms, and all calls of its names were lost. */
    @Test
    void brokenCounterConnectionIsRenewedAtOnce() throws Exception {
        start();
        List<Peer.Connection> lines = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            lines.add(counterPeer.awaitConnection());
        }
        Peer.Connection client = connectClient();
        sendGet(client, "01", "count", 5000);
        expectRequest(1, "count");
        lines.get((int) Math.floorMod(77L, 4L)).close();
        expectEvent("counted 77 RESET 0.0");
        expectEvent("counted 77 RESET 0.0");
        sendGet(client, "02", "count", 5000);
        expectRequest(2, "count");
        Peer.Connection line = counterPeer.awaitConnection();
        assertEquals(List.of("CNT.ADD", "77", "-2.5", "4000"), line.readMessage());
        line.readMessage();
        line.write("$1\r\n5\r\n$1\r\n6\r\n");
        expectEvent("counted 77 OK 5.0");
        expectEvent("counted 77 OK 6.0");
    }
}
