package quotagateway.policy.quota;

import java.nio.charset.StandardCharsets;
import java.util.UUID;
import quotagateway.policy.api.QuotaPlan;

/**
 * Identifies a quota: a customer on one plan, and the gateways that share its traffic.
 *
 * @param key a hash of customer and plan, identical on all gateways
 * @param gatewayCount how many gateways share the customer, 1 or more
 * @param position the index of this gateway among these gateways, from 0
 * @param local whether this gateway decides alone: no other gateway shares the customer, or there is no shared counter
 */
record QuotaScope(long key, QuotaPlan plan, int gatewayCount, int position, boolean local) {
    static QuotaScope of(String name, QuotaPlan plan, int gatewayCount, int position, boolean sharedCounter) {
        long key = UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
        int gateways = Math.max(1, gatewayCount);
        return new QuotaScope(key, plan, gateways, position, !sharedCounter || gateways == 1);
    }

    double unitsPerMs() {
        return plan.rate() / 1000;
    }
}
