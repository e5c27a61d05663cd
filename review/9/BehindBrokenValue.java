package review2;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Commands sent at once, the first answered by a large value that its place server does not finish: do the requests
 * behind it get their final answers?
 */
final class BehindBrokenValue {
    private static final int VALUE_BYTES = 300_000;
    private static final int GIVEN_BYTES = 150_000;
    /** The connection is reset so long after the first part of the value. */
    private static final int RESET_AFTER_MS = 700;
    private static final int WORK_MS = 100;
    private static final int LOOK_MS = 6000;

    public static void main(String[] args) throws Exception {
        Rig.main(args, BehindBrokenValue::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Set<String> executed = ConcurrentHashMap.newKeySet();
        PlaceServer.Handler handler = request -> {
            if (request.attributes().contains("c=check-places")) {
                byte[] answer = Wire.served(new byte[VALUE_BYTES]);
                if (rig.trouble) {
                    request.out().write(answer, 0, GIVEN_BYTES);
                    request.out().flush();
                    Thread.sleep(RESET_AFTER_MS);
                    rig.record.add(request.server().name() + " resets the connection under " + request.id());
                    request.socket().setSoLinger(true, 0);
                    request.socket().close();
                    throw new IOException("reset");
                }
                request.out().write(answer);
                request.out().flush();
            } else {
                Thread.sleep(WORK_MS);
                request.serve("done");
                executed.add(request.id());
                rig.record.add(request.server().name() + " has run and answered " + request.id());
            }
        };
        rig.list(
                new PlaceServer("s1", rig.record, handler),
                new PlaceServer("s2", rig.record, handler),
                new PlaceServer("s3", rig.record, handler));
        String listen = "127.0.0.1:" + Edge.freePort();
        rig.startOnly(listen);
        String[] ids = {Client.newId(), Client.newId(), Client.newId()};
        boolean[] answered = new boolean[ids.length];
        try (Client client = new Client(rig.record, listen, 0)) {
            client.socket().setSoTimeout(LOOK_MS);
            client.send("CALL.GET", ids[0], Rig.attributes("check-places", 2000), null);
            client.send("CALL.POST", ids[1], Rig.attributes("confirm-enrol", 4000), "deposit".getBytes());
            client.send("CALL.POST", ids[2], Rig.attributes("hold-place", 4000), "hold".getBytes());
            for (int i = 0; i < ids.length; i++) {
                String answer;
                try {
                    answer = client.readAnswer();
                    answered[i] = true;
                } catch (IOException e) {
                    answer = "none: " + e.getMessage();
                }
                rig.record.add("client: answer to " + ids[i] + ": " + answer);
            }
        }
        boolean held = rig.trouble || answered[0]; // the broken value itself has failed, and is not lost
        for (int i = 1; i < ids.length; i++) {
            if (!answered[i]) {
                rig.record.add(ids[i] + " has no final answer - LOST; it " + (executed.contains(ids[i]) ? "was run" : "was not run"));
                held = false;
            }
        }
        return held;
    }
}
