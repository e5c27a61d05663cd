package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How many of the descriptors each kind of connection may take. */
class DescriptorBudgetTest {
    @Test
    void sharesOfAnOrdinaryLimit() {
        DescriptorBudget budget = DescriptorBudget.withAdminEndpoint(1024);
        assertEquals(256, budget.endpointConnections());
        assertEquals(563, budget.clientConnections());
        assertEquals(348, budget.clientConnectionsDuringHandover());
    }

    @Test
    void clientsTakeWhatTheOthersLeave() {
        // 200 - 50 for endpoints - 40 of its own - 2 * 6 while clients give way
        assertEquals(98, DescriptorBudget.withoutAdminEndpoint(200).clientConnections());
        // and 17 of the admin endpoint
        assertEquals(81, DescriptorBudget.withAdminEndpoint(200).clientConnections());
    }

    @Test
    void clientsAlwaysHaveAThird() {
        assertEquals(13, DescriptorBudget.withAdminEndpoint(40).clientConnections());
        assertEquals(33, DescriptorBudget.withAdminEndpoint(100).clientConnectionsDuringHandover());
    }
}
