package quotagateway.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointState;

class SimulatedFleetTest {
    private final FleetOptions shape = new FleetOptions();

    @BeforeEach
    void defaults() {
        CommandLine.populateCommand(shape, "--notice-ms", "100,300");
    }

    private SimulatedFleet fleet(int nodes, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(shape, nodes, seed, () -> {});
        fleet.start();
        fleet.run(3000);
        return fleet;
    }

    private static String figures(SimulatedFleet f) {
        return Arrays.toString(Arrays.stream(f.endpoints)
                        .mapToLong(h -> h.attemptsReceived)
                        .toArray())
                + f.served()
                + ' '
                + f.counter.calls
                + ' '
                + f.latency.getMean();
    }

    @Test
    void sameSeedGivesSameRun() {
        assertEquals(figures(fleet(5, 7)), figures(fleet(5, 7)));
        assertNotEquals(figures(fleet(5, 7)), figures(fleet(5, 8)));
    }

    @Test
    void everyRequestEndsOnce() {
        SimulatedFleet f = fleet(4, 1);
        f.latency.reset();
        f.run(ScaleSettings.DEADLINE_MS + 100);
        long ended = f.ended();
        assertTrue(f.arrivals() - ended >= 0, f.arrivals() + " came, " + ended + " ended");
        assertTrue(f.arrivals() - ended < shape.requestsPerSecond * 4, "no more open than a second brings");
        assertTrue(f.served() > 0.95 * ended);
    }

    /** What is silent or refuses gets no work done, and what drains gets none once all have heard. */
    @Test
    void drainingAndSilentEndpointsGetNoWork() {
        SimulatedFleet f = fleet(3, 1);
        f.announceChange(List.of(f.inventory.descriptor(0, EndpointState.DRAINING, 0)));
        f.run(shape.noticeDelayMs[1] + 1);
        long before = f.endpoints[0].attemptsReceived;
        f.run(3000);
        assertEquals(before, f.endpoints[0].attemptsReceived);
        f.setDiscoverySilent(true);
        f.announceChange(List.of(f.inventory.descriptor(0, EndpointState.UP, 0)));
        f.run(3000);
        assertEquals(before, f.endpoints[0].attemptsReceived, "discovery is silent");
        f.endpoints[1].stop(SimulatedEndpoint.Availability.SILENT);
        long got = f.endpoints[1].attemptsReceived;
        f.run(3000);
        assertEquals(got, f.endpoints[1].attemptsReceived);
    }

    @Test
    void restartedEndpointIsSlowAtFirst() {
        VirtualClock clock = new VirtualClock(0);
        SimulatedEndpoint host = new SimulatedEndpoint(new SimulatedEndpoint.Capacity(1, 0, 10), clock);
        double[] done = new double[2];
        host.accept(10, () -> done[0] = clock.now());
        clock.advanceTo(1000, () -> {});
        host.restart();
        assertEquals(null, host.accept(10, () -> done[1] = clock.now()));
        assertEquals(CallOutcome.FULL, host.accept(10, () -> {}));
        clock.advanceTo(2000, () -> {});
        assertEquals(10, done[0]);
        assertEquals(1000 + 10 / ScaleSettings.SLOW_START_INITIAL_SHARE, done[1], 1e-6);
    }

    @Test
    void fullCounterQueueMakesCallsTimeOut() {
        SimulatedFleet f = new SimulatedFleet(shape, 1, 1, () -> {});
        f.nodes[0].start(1);
        int most = (int) (ScaleSettings.COUNTER_TIMEOUT_MS * shape.counterCallsPerSecond / 1000);
        for (int i = 0; i < 2 * most; i++) {
            f.nodes[0].addToCounter(i, 1, 1000);
        }
        assertEquals(2L * most, f.counter.calls);
        assertTrue(
                f.counter.lateCalls >= most / 2 && f.counter.lateCalls <= most + 2,
                f.counter.lateCalls + " of " + 2 * most);
    }
}
