package quotagateway.policy.admission;

import quotagateway.policy.quota.CustomerQuota;

/**
 * A customer on one plan: its waiting requests and its quota.
 *
 * @param queue the customer's waiting requests; changed by admission only
 * @param quota the customer's quota on the plan; changed by admission and by replies of the shared counter
 */
record Customer(CustomerQueue queue, CustomerQuota quota) {}
