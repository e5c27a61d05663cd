/** How endpoints that have just started are spared: their ramp, and this gateway's part of what they bear. */
package quotagateway.policy.slowstart;
