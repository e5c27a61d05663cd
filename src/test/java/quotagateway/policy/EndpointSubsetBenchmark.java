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
 * A benchmark, not a test: runs the policy alone on a simulated clock, with endpoint lists of several lengths. Prints
 * the CPU time per request and per list change (us) and the memory that the policy holds (MB).
 *
 * <p>{@code java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp target/classes:target/test-classes
 * quotagateway.policy.EndpointSubsetBenchmark}
 */
final class EndpointSubsetBenchmark implements PolicyActions {
    private static final int GATEWAYS = 8200;
    /** Requests per second at one gateway: 1.5 million for all gateways together. */
    private static final double REQUESTS_PER_SECOND = 183;

    private static final double WARM_UP_END_MS = 20_000;
    private static final double END = 80_000;
    private static final int LIST_CHANGES = 2000;

    private final PriorityQueue<Double> timers = new PriorityQueue<>();
    private final PriorityQueue<double[]> attemptEnds =
            new PriorityQueue<>((one, other) -> Double.compare(one[0], other[0]));
    private final Random random = new Random(1);
    private double now = 1000;
    private long sent;
    private PolicyEvents policy;

    public static void main(String[] args) {
        System.out.println("endpoints  us/request  us/change  MB  sent/requests");
        for (int listSize : new int[] {20, 200, 2000, 20_000, 200_000}) {
            if (args.length == 0 || Integer.parseInt(args[0]) >= listSize) {
                new EndpointSubsetBenchmark().run(listSize);
            }
        }
    }

    private static EndpointDescriptor descriptor(int i, double startedAt) {
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

    private static double usedMemoryMb() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) / 1e6;
    }

    private static double cpuTimeUs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1e3;
    }

    private void run(int listSize) {
        PolicyHarness harness = new PolicyHarness();
        harness.gatewayCount = GATEWAYS;
        harness.gatewayIndex = 17;
        harness.sharedCounter = false;
        double memoryBeforeMb = usedMemoryMb();
        policy = new Policy(harness.settings(), 1, now, this);
        sendList(listSize);
        double memoryMb = usedMemoryMb() - memoryBeforeMb;
        long requests = 0;
        double cpuBeforeUs = 0;
        for (double at = now; now < END; at += -Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND * 1000) {
            if (requests == 0 && now >= WARM_UP_END_MS) {
                cpuBeforeUs = cpuTimeUs();
                sent = 0;
            }
            requests += now >= WARM_UP_END_MS ? 1 : 0;
            advanceTo(at);
            policy.onRequest(
                    now,
                    new IncomingRequest(
                            (long) (at * 1e3), "read", "big", "c" + random.nextInt(3000), 2000, 1, 2, 0, false));
        }
        double usPerRequest = (cpuTimeUs() - cpuBeforeUs) / requests;
        cpuBeforeUs = cpuTimeUs();
        for (int i = 0; i < LIST_CHANGES; i++) {
            now += 1;
            policy.onEndpoints(now, List.of(descriptor(random.nextInt(listSize), i % 2 == 0 ? 0 : 1)), false);
        }
        System.out.printf(
                "%9d  %10.1f  %9.1f  %6.2f  %d/%d%n",
                listSize, usPerRequest, (cpuTimeUs() - cpuBeforeUs) / LIST_CHANGES, memoryMb, sent, requests);
    }

    /** Sends the policy a complete list in parts. */
    private void sendList(int listSize) {
        policy.onEndpointListStarted(now);
        for (int part = 0; part < listSize; part += 1000) {
            List<EndpointDescriptor> endpoints = new ArrayList<>();
            for (int i = part; i < Math.min(listSize, part + 1000); i++) {
                endpoints.add(descriptor(i, 0));
            }
            policy.onEndpoints(now, endpoints, false);
        }
        policy.onEndpointListCompleted(now);
    }

    private void advanceTo(double time) {
        while (true) {
            double timer = timers.isEmpty() ? time + 1 : timers.peek();
            double end = attemptEnds.isEmpty() ? time + 1 : attemptEnds.peek()[0];
            if (Math.min(timer, end) > time) {
                break;
            }
            now = Math.max(now, Math.min(timer, end));
            if (timer <= end) {
                timers.poll();
                policy.onTimer(now, 0);
            } else {
                double[] attemptEnd = attemptEnds.poll();
                policy.onAttemptEnded(
                        now, (long) attemptEnd[1], 0, CallOutcome.OK, attemptEnd[2], true, 0, new double[0]);
            }
        }
        now = time;
    }

    @Override
    public void sendAttempt(long id, String endpoint, double timeoutAt) {
        double latencyMs = 10 + 40 * random.nextDouble();
        sent++;
        attemptEnds.add(new double[] {now + latencyMs, id, latencyMs});
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
    public void checkHealth(String endpoint) {}

    @Override
    public void addToCounter(long name, double amount, double keepFor) {}

    @Override
    public void subscribeToEndpoints() {}
}
