/** Hashes that all gateways compute alike. */
package quotagateway.policy.hash;
