package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that stop for a moment early in a large value, and a place server that hangs: do they get a final answer? */
final class StalledUpload {
    /** One server of six hangs: 17 in 100 are the most. */
    private static final int SERVERS = 6;
    private static final int CLIENTS = 12;
    private static final int VALUE_BYTES = 1 << 20;
    /** The first piece of a command, and how long its client then waits. */
    private static final int FIRST_PIECE_BYTES = 20_000;
    private static final int PAUSE_MS = 1500;
    /** How long clients wait for the answer, counted from the last byte. */
    private static final int DEADLINE_MS = 3000;
    /** Half a second in which an answer only earns nothing, and the 50 ms by which limits are longer on sockets. */
    private static final int LATE_MS = 550;
    /** How long this script looks for an answer, to tell a late one from none. */
    private static final int LOOK_MS = 10_000;
    private static final int WORK_MS = 100;

    public static void main(String[] args) throws Exception {
        Rig.main(args, StalledUpload::run);
    }

    private static boolean run(Rig rig) throws Exception {
        AtomicInteger atHanging = new AtomicInteger();
        PlaceServer[] servers = new PlaceServer[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            boolean hangs = rig.trouble && i == 0;
            servers[i] = new PlaceServer("s" + i, rig.record, request -> {
                if (hangs) {
                    atHanging.incrementAndGet();
                    rig.record.add("s0 hangs with " + request.id());
                    Thread.sleep(25_000);
                }
                Thread.sleep(WORK_MS);
                request.serve("held");
            });
        }
        rig.list(servers);
        String listen = "127.0.0.1:" + Edge.freePort();
        rig.startOnly(listen);
        AtomicInteger lost = new AtomicInteger();
        List<Rig.Task> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(() -> {
                if (!isAnswered(rig, listen)) {
                    lost.incrementAndGet();
                }
            });
        }
        Rig.all(clients);
        if (rig.trouble && atHanging.get() == 0) {
            throw new IllegalStateException("no request came to the server that hangs");
        }
        return lost.get() == 0;
    }

    /** Sends one request in two pieces; returns whether its final answer came in its time, or up to half a second later. */
    private static boolean isAnswered(Rig rig, String listen) throws Exception {
        try (Client client = new Client(rig.record, listen, 0)) {
            String id = Client.newId();
            String attributes = Rig.attributes("hold-place", DEADLINE_MS);
            byte[] command = Wire.command(
                    "CALL.POST".getBytes(), Rig.CUSTOMER.getBytes(), id.getBytes(), attributes.getBytes(), new byte[VALUE_BYTES]);
            rig.record.add("client begins CALL.POST " + id + " " + attributes + " body " + VALUE_BYTES);
            client.out().write(command, 0, FIRST_PIECE_BYTES);
            Thread.sleep(PAUSE_MS);
            client.out().write(command, FIRST_PIECE_BYTES, command.length - FIRST_PIECE_BYTES);
            double sentAt = rig.record.now();
            rig.record.add("client has sent the last byte of " + id);
            client.socket().setSoTimeout(LOOK_MS);
            String answer;
            try {
                answer = client.readAnswer();
            } catch (IOException e) {
                answer = "none: " + e.getMessage();
            }
            double took = rig.record.now() - sentAt;
            boolean inTime = took <= DEADLINE_MS + LATE_MS && !answer.startsWith("none");
            rig.record.add("client: answer to " + id + " after " + Math.round(took) + " ms: " + answer + (inTime ? "" : " - LOST"));
            return inTime;
        }
    }
}
