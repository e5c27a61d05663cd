/** What this gateway is asked for and sends, and the bound on its sends a second. */
package quotagateway.policy.traffic;
