package quotagateway.policy;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicyEvents;

/**
 * Not a test: the module alone on a fake clock, before lists of several lengths. Prints CPU a request and a
 * list change (us) and what the module holds in memory (MB).
 * {@code java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp target/classes:target/test-classes
 * quotagateway.policy.EndpointSubsetBenchmark}
 */
final class EndpointSubsetBenchmark implements PolicyActions {
    private static final int NODES = 8200;
    /** 1.5 million requests a second over the nodes. */
    private static final double RATE = 183;

    private static final double WARM = 20_000;
    private static final double END = 80_000;
    private static final int CHANGES = 2000;

    private final PriorityQueue<Double> timers = new PriorityQueue<>();
    private final PriorityQueue<double[]> ends = new PriorityQueue<>((one, other) -> Double.compare(one[0], other[0]));
    private final Random random = new Random(1);
    private double now = 1000;
    private long sent;
    private PolicyEvents policy;

    public static void main(String[] args) {
        System.out.println("listed  us/request  us/change  MB  sent/asked");
        for (int listed : new int[] {20, 200, 2000, 20_000, 200_000}) {
            if (args.length == 0 || Integer.parseInt(args[0]) >= listed) {
                new EndpointSubsetBenchmark().run(listed);
            }
        }
    }

    private static EndpointDescriptor server(int i, double startedAt) {
        return new EndpointDescriptor(
                "s-" + Integer.toHexString(0x10000000 + i * 0x9e3779b),
                i / 40,
                new String("zone-" + i / 40 % 18),
                EndpointState.UP,
                new String("m2"),
                startedAt,
                1,
                i);
    }

    private static double memory() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) / 1e6;
    }

    private static double cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1e3;
    }

    private void run(int listed) {
        PolicyHarness harness = new PolicyHarness();
        harness.gatewayCount = NODES;
        harness.gatewayIndex = 17;
        harness.sharedCounter = false;
        double before = memory();
        policy = new Policy(harness.settings(), 1, now, this);
        sendList(listed);
        double memory = memory() - before;
        long asked = 0;
        double from = 0;
        for (double at = now; now < END; at += -Math.log(1 - random.nextDouble()) / RATE * 1000) {
            if (asked == 0 && now >= WARM) {
                from = cpu();
                sent = 0;
            }
            asked += now >= WARM ? 1 : 0;
            to(at);
            policy.onRequest(
                    now,
                    new IncomingRequest(
                            (long) (at * 1e3), "read", "big", "c" + random.nextInt(3000), 2000, 1, 2, 0, false));
        }
        double request = (cpu() - from) / asked;
        from = cpu();
        for (int i = 0; i < CHANGES; i++) {
            now += 1;
            policy.onEndpoints(now, List.of(server(random.nextInt(listed), i % 2 == 0 ? 0 : 1)), false);
        }
        System.out.printf(
                "%6d  %9.1f  %9.1f  %6.2f  %d/%d%n", listed, request, (cpu() - from) / CHANGES, memory, sent, asked);
    }

    /** Gives the policy a complete list in parts. */
    private void sendList(int listed) {
        policy.onEndpointListStarted(now);
        for (int part = 0; part < listed; part += 1000) {
            List<EndpointDescriptor> list = new ArrayList<>();
            for (int i = part; i < Math.min(listed, part + 1000); i++) {
                list.add(server(i, 0));
            }
            policy.onEndpoints(now, list, false);
        }
        policy.onEndpointListCompleted(now);
    }

    private void to(double time) {
        while (true) {
            double timer = timers.isEmpty() ? time + 1 : timers.peek();
            double end = ends.isEmpty() ? time + 1 : ends.peek()[0];
            if (Math.min(timer, end) > time) {
                break;
            }
            now = Math.max(now, Math.min(timer, end));
            if (timer <= end) {
                timers.poll();
                policy.onTimer(now, 0);
            } else {
                double[] a = ends.poll();
                policy.onAttemptEnded(now, (long) a[1], 0, CallOutcome.OK, a[2], true, 0, new double[0]);
            }
        }
        now = time;
    }

    @Override
    public void sendAttempt(long id, String server, double timeoutAt) {
        double took = 10 + 40 * random.nextDouble();
        sent++;
        ends.add(new double[] {now + took, id, took});
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        timers.add(now + delay);
    }

    @Override
    public void cancelAttempt(long id, int attempt) {}

    @Override
    public void reject(long id, double retryAfter) {}

    @Override
    public void fail(long id) {}

    @Override
    public void checkHealth(String server) {}

    @Override
    public void addToCounter(long name, double amount, double keepFor) {}

    @Override
    public void subscribeToEndpoints() {}
}
