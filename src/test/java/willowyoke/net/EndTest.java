package willowyoke.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What is owed when a request, a connection or the process ends at a rare moment. */
class EndTest extends NodeFixture {
    private static final int PAUSE = 256;

    /** Where the module may not cancel, an attempt that waited for its connection was sent all the same. */
    @Test void aRequestThatIsOverIsNotSentWhenItsConnectionComesUp() throws Exception {
        start();
        Peer.Line client = client();
        get(client, "01", "read", 1500);
        arrived(1, "read");
        assertEquals("01", server.message().get(2));
        get(client, "02", "drop", 1500); // the one connection is taken: another has to come up
        arrived(2, "drop");
        expect("ended 2 0 NOT_SENT true");
        Peer.Line second = app.accept();
        get(client, "03", "read", 1500);
        assertEquals("03", second.message().get(2));
    }

    /** A counter that takes a connection and ends it without a word was called as fast as the loop went. */
    @Test void aCounterThatEndsEachConnectionIsNotAskedWithoutAPause() throws Exception {
        start();
        int came = 0;
        long until = System.nanoTime() + 1_000_000_000L;
        for (Peer.Line line = counter.poll(1000); System.nanoTime() < until; line = counter.poll(1000)) {
            if (line != null) {
                came++;
                line.close();
            }
        }
        assertTrue(came >= 8, "each line comes again: " + came);
        assertTrue(came <= 40, came + " connections of four lines in a second");
    }

    /** A client that leaves while nothing is read from it, with requests before and behind its last. */
    @Test void aClientThatLeavesWhileReadingIsPausedIsNoticed() throws Exception {
        start();
        Peer.Line client = client();
        for (int i = 1; i <= PAUSE + 2; i++) { // the last two stand unread in the socket
            get(client, Integer.toHexString(i), "hold", 2000);
        }
        for (int i = 1; i <= PAUSE; i++) {
            arrived(i, "hold");
        }
        long left = System.nanoTime();
        client.close();
        int gone = 0;
        while (gone < PAUSE) {
            String what = told.poll(5, java.util.concurrent.TimeUnit.SECONDS);
            assertTrue(what != null, "after " + gone + " of " + PAUSE);
            gone += what.startsWith("gone ") ? 1 : 0;
            assertTrue(what.startsWith("gone ") || what.startsWith("arrived "), what);
        }
        long took = (System.nanoTime() - left) / 1_000_000;
        assertTrue(took < 300, "noticed after " + took + " ms");
        Peer.Line other = client();
        get(other, "ff01", "refuse", 900);
        assertEquals(List.of("-BUSY 1500"), other.message());
    }
}
