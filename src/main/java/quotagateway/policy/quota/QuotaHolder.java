package quotagateway.policy.quota;

import java.nio.charset.StandardCharsets;
import java.util.UUID;
import quotagateway.policy.api.QuotaPlan;

/**
 * Whose quota it is: a customer on one plan, and the gateways that share its traffic.
 *
 * @param key a hash of customer and plan, the same at all gateways
 * @param gatewayCount how many gateways share the customer, 1 or more
 * @param position which of them this gateway is, from 0
 * @param local whether this gateway decides alone: no other shares the customer, or there is no shared counter
 */
record QuotaHolder(long key, QuotaPlan plan, int gatewayCount, int position, boolean local) {
    static QuotaHolder of(String name, QuotaPlan plan, int gatewayCount, int position, boolean sharedCounter) {
        long key = UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
        int gateways = Math.max(1, gatewayCount);
        return new QuotaHolder(key, plan, gateways, position, !sharedCounter || gateways == 1);
    }

    double unitsPerMs() {
        return plan.rate() / 1000;
    }
}
