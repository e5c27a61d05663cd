package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.channel.epoll.Epoll;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/**
 * A client waits from when it sent its request, but a gateway may read that later: while it has as many connections as
 * it may hold, new ones wait in the accept queue for up to half a second; and behind 256 unanswered commands nothing
 * more is taken. The time of such a request was counted from when it was read, so that endpoints were told more time
 * than the client had left. The soak showed it with a crowd of idle clients (seed 100): sent at 18,096, accepted at
 * 18,472 on a connection of 2 ms, and an attempt at 18,796 that told 1,552 of 1,887 ms where 1,187 were left.
 */
class LateReadTest extends NodeFixture {
    private static final int CLIENT_TIMEOUT_MS = 2000;
    /** A silent connection is evicted for a new one after this, and not before. */
    private static final double EVICTED_AFTER_MS = 500;
    /** More than a gateway with 256 sockets holds. */
    private static final int CROWD = 150;
    /** So many commands of a connection may be unanswered. */
    private static final int PIPELINE_LIMIT = 256;

    private static final int HELD_FOR_MS = 1000;
    /** The kernel's clock, and rounding. */
    private static final double CLOCK_TOLERANCE_MS = 20;
    /** A response is due ahead of its client's timeout by this, and the policy's grace. */
    private static final double EARLY_BY_MS = 20;

    private static final Pattern STATED_TIMEOUT = Pattern.compile(",d=(\\d+)");

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    /** The time that the endpoint is told of the next attempt (ms). */
    private double statedTimeout(String id) throws Exception {
        List<String> command = endpointConnection.readMessage();
        assertEquals(id, command.get(2));
        Matcher stated = STATED_TIMEOUT.matcher(command.get(3));
        assertTrue(stated.find(), command.toString());
        return Double.parseDouble(stated.group(1));
    }

    @Test
    void timeInTheAcceptQueueIsTakenOffTheClientsTimeout() throws Exception {
        assumeTrue(Epoll.isAvailable(), "only epoll tells when bytes came");
        start();
        double crowdFrom = now();
        for (int i = 0; i < CROWD; i++) {
            connectClient();
        }
        Peer.Connection client = connectClient();
        sendGet(client, "01", "read", CLIENT_TIMEOUT_MS);
        double sentAt = now();
        double left = CLIENT_TIMEOUT_MS - (crowdFrom + EVICTED_AFTER_MS - sentAt);
        double stated = statedTimeout("01");
        assertTrue(stated <= left + CLOCK_TOLERANCE_MS, stated + " ms of " + left + " that are left at the most");
    }

    @Test
    void timeBehindUnansweredCommandsIsTakenOffTheClientsTimeout() throws Exception {
        start();
        Peer.Connection client = connectClient();
        double firstSentAt = now();
        for (int i = 0; i < PIPELINE_LIMIT; i++) {
            sendGet(client, Integer.toHexString(0x100 + i), "hold", HELD_FOR_MS);
        }
        for (int i = 1; i <= PIPELINE_LIMIT; i++) {
            expectRequest(i, "hold");
        }
        sendGet(client, "01", "read", CLIENT_TIMEOUT_MS);
        double left = CLIENT_TIMEOUT_MS - (firstSentAt + HELD_FOR_MS - EARLY_BY_MS - now());
        double stated = statedTimeout("01");
        assertTrue(stated <= left + CLOCK_TOLERANCE_MS, stated + " ms of " + left + " that are left at the most");
    }
}
