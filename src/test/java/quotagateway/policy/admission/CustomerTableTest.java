package quotagateway.policy.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CustomerTableTest {
    private static final int LIMIT = 4;

    private final CustomerTable table = new CustomerTable(LIMIT);

    private Customer add(String name) {
        Customer customer = new Customer(new CustomerQueue(), null);
        table.add(name, customer);
        return customer;
    }

    /** Guards against a flood of new names that takes the quotas of others with it (picture b of the review). */
    @Test
    void newNamesEvictEachOtherBeforeACustomerWithSeveralRequests() {
        Customer repeated = add("repeated");
        assertSame(repeated, table.findForRequest("repeated"));
        Customer first = add("new 1");
        add("new 2");
        add("new 3");
        assertTrue(table.isFull());
        assertSame(first, table.evictOldest(customer -> true));
        for (int i = 4; i < 100; i++) {
            add("new " + i);
            assertNotNull(table.evictOldest(customer -> true));
        }
        assertSame(repeated, table.findForRequest("repeated"));
        assertNull(table.findForRequest("new 1"));
    }

    @Test
    void customerWithoutARequestForLongestIsEvictedOfThoseThatMayBe() {
        Customer[] customers = new Customer[LIMIT];
        for (int i = 0; i < LIMIT; i++) {
            customers[i] = add("c" + i);
            table.findForRequest("c" + i);
        }
        table.findForRequest("c0");
        assertSame(customers[2], table.evictOldest(customer -> !customer.equals(customers[1])));
        assertFalse(table.isFull());
        assertNull(table.evictOldest(customer -> false));
    }
}
