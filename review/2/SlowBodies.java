import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A number of clients write a request with a large value slowly, in small pieces, and behave well otherwise. All
 * requests, theirs and those of others, are owed a final answer in time.
 */
final class SlowBodies {
    private static final int OTHER_CLIENTS = 10;
    private static final int THINK_MS = 30;
    /** With the others less than a third of the 1,024 descriptors. */
    private static final int SLOW_CLIENTS = 120;
    /** Bytes of a value, the most that the protocol page has. */
    private static final int VALUE_BYTES = 64 * 1024;

    /** What a client writes at a time: a buffer of one of the usual sizes. */
    private static final int PIECE_BYTES = 1024;
    /** How long a client takes to write its request. */
    private static final int WRITE_MS = 2000;

    private static final int QUIET_MS = 3000;
    private static final int SECONDS = 20;

    private final Harness harness;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger ended = new AtomicInteger();

    private SlowBodies(Harness harness) {
        this.harness = harness;
    }

    public static void main(String[] args) throws Exception {
        int code;
        try (Harness harness = new Harness(args)) {
            code = new SlowBodies(harness).run();
        }
        System.exit(code);
    }

    private int run() throws Exception {
        for (int i = 0; i < Harness.SERVERS; i++) {
            harness.list(new PlaceServer("s-" + i, harness.record, 45, 78));
        }
        String listen = Gateway.freeAddress();
        Gateway gateway = harness.start(listen, harness.newState(), null);
        gateway.awaitReady();
        double end = Record.now() + SECONDS * 1000.0;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < OTHER_CLIENTS; i++) {
            int number = i;
            clients.add(Service.daemon(() -> read(listen, number, end)));
        }
        Thread.sleep(QUIET_MS);
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            int number = OTHER_CLIENTS + i;
            clients.add(Service.daemon(() -> writeSlowly(listen, number)));
        }
        for (Thread client : clients) {
            client.join();
        }
        harness.record.say("the gateway's process %s", gateway.process.isAlive() ? "runs" : "has ended");
        harness.record.say("%d answered in time, %d of them served; %d connections ended under a request", answered.get(),
                served.get(), ended.get());
        harness.record.say("%d requests had no final answer half a second after their time", lost.get());
        return served.get() == 0 ? 2 : lost.get() > 0 || !gateway.process.isAlive() ? 1 : 0;
    }

    /** A client that looks up places, one request after another; a new connection follows one that is of no more use. */
    private void read(String listen, int number, double end) throws Exception {
        int count = 0;
        while (Record.now() < end) {
            try (Client client = new Client(listen)) {
                while (Record.now() < end) {
                    String id = String.format("%08x%08x", number, count++);
                    harness.record.add("client %d sends %s", number, id);
                    client.send(Deployment.read(number, id, Deployment.READ_DEADLINE_MS));
                    awaitAnswer(client, id, Deployment.READ_DEADLINE_MS);
                    Thread.sleep(ThreadLocalRandom.current().nextInt(THINK_MS));
                }
            } catch (SocketTimeoutException e) {
                Thread.sleep(THINK_MS);
            } catch (IOException e) {
                ended.incrementAndGet();
                harness.record.add("client %d: %s", number, e);
                Thread.sleep(THINK_MS);
            }
        }
    }

    private void writeSlowly(String listen, int number) throws Exception {
        String id = String.format("%08x%08x", number, 0);
        byte[] value = new byte[VALUE_BYTES];
        Arrays.fill(value, (byte) 'x');
        byte[] command = Resp.command(Resp.ascii("CALL.POST"), Resp.ascii(Deployment.customer(number)), Resp.ascii(id),
                Resp.ascii(Deployment.writeAttributes("hold-place", id)), value);
        try (Client client = new Client(listen)) {
            harness.record.add("client %d begins to write %s, %d bytes", number, id, command.length);
            int piece = harness.trouble ? PIECE_BYTES : command.length;
            for (int from = 0; from < command.length; from += piece) {
                if (from > 0) {
                    Thread.sleep((long) WRITE_MS * piece / command.length);
                }
                client.send(Arrays.copyOfRange(command, from, Math.min(command.length, from + piece)));
            }
            harness.record.add("client %d has written %s", number, id);
            awaitAnswer(client, id, Deployment.WRITE_DEADLINE_MS);
        } catch (SocketTimeoutException e) {
            // counted
        } catch (IOException e) {
            ended.incrementAndGet();
            harness.record.add("client %d: %s", number, e);
        }
    }

    private void awaitAnswer(Client client, String id, int deadlineMs) throws IOException {
        double sentAt = Record.now();
        client.timeout(deadlineMs + Harness.TOO_LATE_MS);
        try {
            Object answer = client.read();
            answered.incrementAndGet();
            served.addAndGet(answer instanceof String ? 0 : 1);
            harness.record.add("%s is answered after %.0f ms: %s", id, Record.now() - sentAt,
                    answer instanceof String ? answer : "its value");
        } catch (SocketTimeoutException e) {
            lost.incrementAndGet();
            harness.record.add("%s has no answer %.0f ms after its last byte (LOST)", id, Record.now() - sentAt);
            throw e;
        }
    }
}
