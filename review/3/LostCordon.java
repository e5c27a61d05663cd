import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Operators take two place servers out while a new version takes over: the first by a call to the old process, the
 * second by a call to the new one right behind it. Both calls get a yes; neither server may be sent anything new.
 */
final class LostCordon {
    private static final int CLIENTS = 8;
    private static final int THINK_MS = 30;
    private static final int QUIET_MS = 3000;
    private static final int SECONDS_AFTER = 20;
    /** The grace of the settings, the 50 ms for sockets, and time for what the stand-in notes late. */
    private static final double GRACE_MS = 250 + 50 + 100;

    private static final int READY_MS = 30_000;

    private final Harness harness;
    private final Map<String, Double> outSince = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> sentAfter = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean over;

    private LostCordon(Harness harness) {
        this.harness = harness;
    }

    public static void main(String[] args) throws Exception {
        int code;
        try (Harness harness = new Harness(args)) {
            code = new LostCordon(harness).run();
        }
        System.exit(code);
    }

    private final class Server extends PlaceServer {
        Server(String host) throws IOException {
            super(host, harness.record, 45, 78);
        }

        @Override
        void begins(String id, String attributes) {
            Double since = outSince.get(host);
            if (since != null && Record.now() > since + GRACE_MS) {
                harness.record.add("%s is out, and was sent %s", host, id);
                sentAfter.computeIfAbsent(host, key -> new AtomicInteger()).incrementAndGet();
            }
        }
    }

    private int run() throws Exception {
        for (int i = 0; i < Harness.SERVERS; i++) {
            harness.list(new Server("s-" + i));
        }
        String listen = Gateway.freeAddress();
        String control = Gateway.freeAddress();
        Path state = harness.newState();
        Gateway gateway = harness.start(listen, state, control);
        gateway.awaitReady();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Service.daemon(() -> read(listen, number)));
        }
        Thread.sleep(QUIET_MS);
        String controlNow = harness.trouble ? Gateway.freeAddress() : control;
        if (harness.trouble) {
            harness.start(listen, state, controlNow);
            if (!awaitYes(controlNow)) {
                return 2;
            }
            harness.record.say("the new process says yes");
        }
        boolean bothYes = takeOut("s-0", control);
        if (harness.trouble) {
            gateway.process.destroy();
            harness.record.say("SIGTERM to the old process");
        }
        bothYes &= takeOut("s-1", controlNow);
        if (!bothYes) {
            return 2;
        }
        Thread.sleep(SECONDS_AFTER * 1000L);
        over = true;
        for (Thread client : clients) {
            client.join();
        }
        if (harness.trouble) {
            harness.record.say("the old process %s", gateway.process.isAlive() ? "runs" : "has ended");
        }
        harness.record.say("%d requests served; sent behind the grace to servers that are out: %s", served.get(), sentAfter);
        return served.get() == 0 ? 2 : sentAfter.isEmpty() ? 0 : 1;
    }

    private static boolean awaitYes(String control) throws InterruptedException {
        double end = Record.now() + READY_MS;
        while (Record.now() < end) {
            if (Operator.call(control, "GET", "/admin/health") == 200) {
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    private boolean takeOut(String host, String control) {
        int status = Operator.call(control, "POST", "/admin/cordon/" + host);
        outSince.put(host, Record.now());
        harness.record.say("call out for %s at %s: %d", host, control, status);
        return status == 200;
    }

    private void read(String listen, int number) throws Exception {
        int count = 0;
        while (!over) {
            try (Client client = new Client(listen)) {
                client.timeout(Deployment.READ_DEADLINE_MS + Harness.TOO_LATE_MS);
                while (!over) {
                    String id = String.format("%08x%08x", number, count++);
                    client.send(Deployment.read(number, id, Deployment.READ_DEADLINE_MS));
                    Object answer = client.read();
                    served.addAndGet(answer instanceof String ? 0 : 1);
                    harness.record.add("client %d gets for %s: %s", number, id,
                            answer instanceof String ? answer : Resp.text(answer));
                    Thread.sleep(ThreadLocalRandom.current().nextInt(THINK_MS));
                }
            } catch (IOException e) {
                harness.record.add("client %d connects again: %s", number, e);
            }
        }
    }
}
