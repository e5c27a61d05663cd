/** Hash functions with the same results on all gateways. */
package quotagateway.policy.hash;
