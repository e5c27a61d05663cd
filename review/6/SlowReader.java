package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that read a large value slowly and without a pause: is it cut off while the place server is still giving? */
final class SlowReader {
    /** The largest value of the pages. */
    private static final int VALUE_BYTES = 4 << 20;
    /** What each client reads a second, and how often. */
    private static final int[] BYTES_PER_SECOND = {100_000, 120_000};
    private static final int READ_EVERY_MS = 100;
    private static final int CLIENT_BUFFER = 64 * 1024;
    /** Place servers write the last part of an answer in small pieces, so many bytes each time. */
    private static final int LAST_PART_BYTES = 94_000;
    private static final int PIECE_BYTES = 3000;
    private static final int PIECE_EVERY_MS = 250;

    public static void main(String[] args) throws Exception {
        Rig.main(args, SlowReader::run);
    }

    private static boolean run(Rig rig) throws Exception {
        byte[] value = new byte[VALUE_BYTES];
        for (int i = 0; i < value.length; i++) {
            value[i] = (byte) ('a' + i % 26);
        }
        PlaceServer.Handler handler = request -> {
            try {
                give(request, Wire.served(value));
                rig.record.add(request.server().name() + " has given all of " + request.id());
            } catch (IOException e) {
                rig.record.add(request.server().name() + " was still giving " + request.id() + " when its connection ended: "
                        + e.getMessage());
                throw e;
            }
        };
        rig.list(new PlaceServer("s1", rig.record, handler), new PlaceServer("s2", rig.record, handler));
        String listen = "127.0.0.1:" + Edge.freePort();
        rig.startOnly(listen);
        AtomicInteger whole = new AtomicInteger();
        List<Rig.Task> clients = new ArrayList<>();
        for (int rate : BYTES_PER_SECOND) {
            clients.add(() -> {
                if (reads(rig, listen, value, rig.trouble ? rate : 0)) {
                    whole.incrementAndGet();
                }
            });
        }
        Rig.all(clients);
        return whole.get() == BYTES_PER_SECOND.length;
    }

    private static void give(PlaceServer.Request request, byte[] answer) throws Exception {
        int done = answer.length - LAST_PART_BYTES;
        request.out().write(answer, 0, done);
        while (done < answer.length) {
            Thread.sleep(PIECE_EVERY_MS);
            int piece = Math.min(PIECE_BYTES, answer.length - done);
            request.out().write(answer, done, piece);
            done += piece;
        }
    }

    /** Reads the value at a rate (bytes a second), or as it comes for 0; returns whether it came whole. */
    private static boolean reads(Rig rig, String listen, byte[] value, int rate) throws Exception {
        try (Client client = new Client(rig.record, listen, CLIENT_BUFFER)) {
            String id = Client.newId();
            client.send("CALL.GET", id, Rig.attributes("check-places", 2000), null);
            String head = Wire.line(client.in());
            rig.record.add("client got the head " + head + " of " + id);
            if (!head.equals("$" + value.length)) {
                throw new IllegalStateException("no value: " + head);
            }
            int piece = rate == 0 ? 64 * 1024 : rate * READ_EVERY_MS / 1000;
            byte[] buffer = new byte[piece];
            double start = rig.record.now();
            double lastRead = start;
            double longestPause = 0;
            int done = 0;
            while (done < value.length) {
                int read;
                try {
                    read = client.in().read(buffer, 0, Math.min(piece, value.length - done));
                } catch (IOException e) {
                    rig.record.add("client: " + e.getMessage());
                    read = -1;
                }
                if (read < 0) {
                    rig.record.add("client: " + id + " was cut off after " + done + " of " + value.length
                            + " bytes; its longest pause between two reads was " + Math.round(longestPause) + " ms");
                    return false;
                }
                done += read;
                double now = rig.record.now();
                longestPause = Math.max(longestPause, now - lastRead);
                lastRead = now;
                double due = rate == 0 ? 0 : start + done * 1000.0 / rate;
                if (due > now) {
                    Thread.sleep((long) (due - now));
                }
            }
            rig.record.add("client: " + id + " came whole after " + Math.round(rig.record.now() - start) + " ms");
            return true;
        }
    }
}
