package quotagateway.policy.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Customers by name, up to a limit, as clients choose the names. At the limit the customer that has been without a
 * request for longest is evicted, first of those with a single request: a flood of new names evicts none but its own.
 * All methods take the time of one look-up, whatever the number of customers, except {@link #removeIf}.
 */
final class CustomerTable {
    /** Customers that are looked at to evict one: the oldest ones may have open requests. */
    private static final int MAX_CANDIDATES = 16;

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int limit;
    /** Customers with a single request so far, in the order of their requests. */
    private final Map<String, Customer> single = new LinkedHashMap<>();
    /** Customers with several requests, in the order of their last ones. */
    private final Map<String, Customer> repeated = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

    /** @param limit the most customers, 1 or more */
    CustomerTable(int limit) {
        this.limit = limit;
    }

    /** Returns the customer of a request that has arrived, or null if there is none of this name. */
    Customer findForRequest(String name) {
        Customer customer = single.remove(name);
        if (customer == null) {
            return repeated.get(name);
        }
        repeated.put(name, customer);
        return customer;
    }

    /** Adds a customer of a new name; the table must not be full. */
    void add(String name, Customer customer) {
        single.put(name, customer);
    }

    boolean isFull() {
        return single.size() + repeated.size() >= limit;
    }

    /** Evicts a customer that may be evicted; returns it, or null if none of the oldest ones may. */
    Customer evictOldest(Predicate<Customer> mayEvict) {
        Customer evicted = evictOldest(single, mayEvict);
        return evicted == null ? evictOldest(repeated, mayEvict) : evicted;
    }

    private static Customer evictOldest(Map<String, Customer> customers, Predicate<Customer> mayEvict) {
        Iterator<Customer> oldest = customers.values().iterator();
        for (int i = 0; i < MAX_CANDIDATES && oldest.hasNext(); i++) {
            Customer candidate = oldest.next();
            if (mayEvict.test(candidate)) {
                oldest.remove();
                return candidate;
            }
        }
        return null;
    }

    /** Removes all customers to which a condition applies. */
    void removeIf(Predicate<Customer> condition) {
        single.values().removeIf(condition);
        repeated.values().removeIf(condition);
    }
}
