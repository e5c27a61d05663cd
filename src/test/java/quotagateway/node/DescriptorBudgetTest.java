package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The number of file descriptors that each kind of connection may use. */
class DescriptorBudgetTest {
    @Test
    void sharesOfATypicalLimit() {
        DescriptorBudget budget = DescriptorBudget.withAdminEndpoint(1024);
        assertEquals(256, budget.endpointConnections());
        assertEquals(563, budget.clientConnections());
        assertEquals(348, budget.clientConnectionsDuringHandover());
    }

    @Test
    void clientsGetTheRemainingDescriptors() {
        // 200 - 50 for endpoints - 40 of the node itself - 2 * 6 for clients beyond the limit during evictions
        assertEquals(98, DescriptorBudget.withoutAdminEndpoint(200).clientConnections());
        // and 17 for the admin endpoint
        assertEquals(81, DescriptorBudget.withAdminEndpoint(200).clientConnections());
    }

    @Test
    void clientsAreGuaranteedAThird() {
        assertEquals(13, DescriptorBudget.withAdminEndpoint(40).clientConnections());
        assertEquals(33, DescriptorBudget.withAdminEndpoint(100).clientConnectionsDuringHandover());
    }
}
