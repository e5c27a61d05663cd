package quotagateway.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Where lists have to be asked for, one discovery serves all gateways, and turns away what is too much. On a day of
 * the loans site all watches were reset together; each gateway then called again every 60 ms, and was turned away
 * with 503 some hundred times. Discovery stayed full by these calls alone, and 1.3 s after servers had begun to
 * drain no gateway had heard of it. In the log: {@code step=REJECTED} every 60 ms, from 2.8 to 7.6 s.
 */
class DiscoveryOverloadTest {
    @Test
    void callsThatAnOverloadedDiscoveryTurnsAwayBackOff() {
        DiscoveryClientTest.World shared = new DiscoveryClientTest.World(true);
        shared.fate = DiscoveryClientTest.CallFate.REFUSAL_OPEN;
        shared.discovery.start(null);
        shared.to(10_000);
        assertTrue(shared.calls <= 20, "calls in 10 s: " + shared.calls);
        DiscoveryClientTest.World agent = new DiscoveryClientTest.World(false);
        agent.fate = DiscoveryClientTest.CallFate.REFUSAL_OPEN;
        agent.discovery.start(null);
        agent.to(10_000);
        assertTrue(agent.calls > 100, "an agent on this machine answers at no cost: " + agent.calls);
    }
}
