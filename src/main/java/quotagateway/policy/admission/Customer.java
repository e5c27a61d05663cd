package quotagateway.policy.admission;

import quotagateway.policy.quota.CustomerQuota;

/**
 * A customer on one plan: its waiting requests and its quota.
 *
 * @param queue written by the admission of requests
 * @param quota written by its own replies and by the admission of requests
 */
record Customer(CustomerQueue queue, CustomerQuota quota) {}
