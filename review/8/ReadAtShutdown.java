package review2;

import java.io.IOException;

/** A planned restart while a client reads a large value and goes on sending: does the value come whole? */
final class ReadAtShutdown {
    private static final int VALUE_BYTES = 1_000_000;
    private static final int BYTES_PER_SECOND = 400_000;
    private static final int CLIENT_BUFFER = 64 * 1024;
    /** SIGTERM comes so long after the request, and SIGKILL so long after SIGTERM: 3 s and 0.7 s. */
    private static final int TERM_AFTER_MS = 300;
    private static final int KILL_AFTER_MS = 3700;
    /** Further commands are sent so many at once, so often. */
    private static final int COMMANDS_AT_ONCE = 3;
    private static final int SEND_EVERY_MS = 400;

    public static void main(String[] args) throws Exception {
        Rig.main(args, ReadAtShutdown::run);
    }

    private static boolean run(Rig rig) throws Exception {
        byte[] value = new byte[VALUE_BYTES];
        String firstId = Client.newId();
        PlaceServer.Handler handler = request -> {
            if (request.id().equals(firstId)) {
                request.serve(value);
                rig.record.add(request.server().name() + " has given all of " + firstId);
            } else {
                request.serve("free");
            }
        };
        rig.list(new PlaceServer("s1", rig.record, handler), new PlaceServer("s2", rig.record, handler));
        String listen = "127.0.0.1:" + Edge.freePort();
        Edge edge = rig.startOnly(listen);
        try (Client client = new Client(rig.record, listen, CLIENT_BUFFER)) {
            client.send("CALL.GET", firstId, Rig.attributes("check-places", 2000), null);
            if (rig.trouble) {
                Rig.thread(() -> {
                    Thread.sleep(TERM_AFTER_MS);
                    edge.signal("TERM");
                    if (!edge.awaitEnd(KILL_AFTER_MS)) {
                        edge.signal("KILL");
                    }
                });
            }
            Rig.thread(() -> {
                while (true) {
                    Thread.sleep(SEND_EVERY_MS);
                    for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
                        client.send("CALL.GET", Client.newId(), Rig.attributes("check-places", 2000), null);
                    }
                }
            });
            return readsWhole(rig, client, firstId);
        }
    }

    private static boolean readsWhole(Rig rig, Client client, String id) throws Exception {
        String head = Wire.line(client.in());
        if (!head.equals("$" + VALUE_BYTES)) {
            throw new IllegalStateException("no value: " + head);
        }
        byte[] buffer = new byte[BYTES_PER_SECOND / 20];
        double start = rig.record.now();
        int done = 0;
        while (done < VALUE_BYTES) {
            int read;
            try {
                read = client.in().read(buffer, 0, Math.min(buffer.length, VALUE_BYTES - done));
            } catch (IOException e) {
                rig.record.add("client: " + e.getMessage());
                read = -1;
            }
            if (read < 0) {
                rig.record.add("client: " + id + " was cut off after " + done + " of " + VALUE_BYTES + " bytes - LOST");
                return false;
            }
            done += read;
            double due = start + done * 1000.0 / BYTES_PER_SECOND;
            if (due > rig.record.now()) {
                Thread.sleep((long) (due - rig.record.now()));
            }
        }
        rig.record.add("client: " + id + " came whole after " + Math.round(rig.record.now() - start) + " ms");
        return true;
    }
}
